#include "logclient.h"

#include "coltsfootpoint/verdict.h"
#include "logmessages.h"
#include "serialhttpclient.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <stdexcept>
#include <utility>

namespace coltsfoot {

namespace {

/// Reads queue without a time limit; Options::MaxQueued_ limits their number.
constexpr Millis NoQueueTimeout = Millis(1e9);

std::unique_ptr<SerialHttpClient>
makeHttpClient(boost::asio::io_context &Io,
               const LogClient::Options &Settings) {
  boost::system::error_code Error;
  auto Address = boost::asio::ip::make_address(Settings.Host_, Error);
  if (Error)
    throw std::invalid_argument(
        "expected an IP address of the log service, found '" + Settings.Host_ +
        "'");
  SerialHttpClient::Options Options;
  Options.Server_ = {Address, Settings.Port_};
  Options.ConnectTimeout_ = Settings.ConnectTimeout_;
  Options.IdleTimeout_ = Settings.IdleTimeout_;
  Options.MaxQueued_ = Settings.MaxQueued_;
  Options.MaxResponseBytes_ = Settings.MaxResponseBytes_;
  return std::make_unique<SerialHttpClient>(Io, Options);
}

std::string streamTarget(std::string_view Stream) {
  bool Valid =
      !Stream.empty() &&
      std::all_of(Stream.begin(), Stream.end(), [](unsigned char C) {
        return std::isalnum(C) != 0 || C == '-' || C == '_' || C == '.';
      });
  if (!Valid)
    throw std::invalid_argument(
        "expected a stream name of letters, digits, '-', '_' and '.'");
  return "/streams/" + std::string(Stream);
}

AppendResult appendResult(const HttpResult &Result) {
  return std::visit(
      Overloaded{[](const HttpResponse &Outcome) {
                   return parseAppendAnswer(Outcome.Status_, Outcome.Body_);
                 },
                 [](const HttpNotSent &Outcome) -> AppendResult {
                   return AppendRefused{Outcome.Why_};
                 },
                 [](const HttpOutcomeUnknown &Outcome) -> AppendResult {
                   return AppendUnknown{Outcome.Why_};
                 }},
      Result);
}

ReadResult readResult(const HttpResult &Result, int64_t From) {
  return std::visit(Overloaded{[&](const HttpResponse &Outcome) {
                                 return parseReadAnswer(Outcome.Status_,
                                                        Outcome.Body_, From);
                               },
                               [](const auto &Outcome) -> ReadResult {
                                 return LogDown{Outcome.Why_};
                               }},
                    Result);
}

} // namespace

LogClient::LogClient(boost::asio::io_context &Io, Options Settings)
    : Settings_(std::move(Settings)), Appends_(makeHttpClient(Io, Settings_)),
      Reads_(makeHttpClient(Io, Settings_)),
      WaitingReads_(makeHttpClient(Io, Settings_)) {}

LogClient::~LogClient() = default;

void LogClient::append(std::string_view Stream, std::string Data,
                       AppendHandler Handler) {
  SerialHttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = streamTarget(Stream);
  Request.Body_ = std::move(Data);
  Request.Timeout_ = Settings_.RequestTimeout_;
  Request.QueueTimeout_ = Settings_.RequestTimeout_;
  Appends_->send(std::move(Request),
                 [Handler = std::move(Handler)](const HttpResult &Result) {
                   Handler(appendResult(Result));
                 });
}

void LogClient::read(std::string_view Stream, int64_t From, int Max,
                     Millis Wait, ReadHandler Handler) {
  SerialHttpRequest Request;
  Request.Method_ = "GET";
  Request.Target_ = streamTarget(Stream) + "?from=" + std::to_string(From) +
                    "&max=" + std::to_string(Max) +
                    "&wait_ms=" + std::to_string(Wait.whole());
  Request.Timeout_ = Settings_.RequestTimeout_ + Wait;
  Request.QueueTimeout_ = NoQueueTimeout;
  SerialHttpClient &Client = Wait > Millis(0) ? *WaitingReads_ : *Reads_;
  Client.send(std::move(Request),
              [From, Handler = std::move(Handler)](const HttpResult &Result) {
                Handler(readResult(Result, From));
              });
}

} // namespace coltsfoot
