#include "httpclient.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <optional>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr uint64_t MaxBodyBytes = 256ULL * 1024 * 1024;

using Request = http::request<http::string_body>;

Request makeRequest(std::string_view Method, std::string_view Target,
                    const std::vector<HttpField> &Headers,
                    std::string_view Body, const std::string &Host) {
  Request Message;
  Message.version(11);
  Message.method_string({Method.data(), Method.size()});
  Message.target({Target.data(), Target.size()});
  Message.set(http::field::host, Host);
  for (const HttpField &Header : Headers) {
    if (beast::iequals(Header.Name_, "Host"))
      Message.set(http::field::host, Header.Value_);
    else
      Message.insert(Header.Name_, Header.Value_);
  }
  Message.body() = std::string(Body);
  bool HasBody = Method == "POST" || Method == "PUT" || Method == "PATCH";
  if (HasBody || !Body.empty())
    Message.content_length(Body.size());
  return Message;
}

} // namespace

std::string HttpReply::header(std::string_view Name) const {
  for (const HttpField &Field : Fields_)
    if (beast::iequals(Field.Name_, {Name.data(), Name.size()}))
      return Field.Value_;
  return {};
}

class HttpSession::Impl {
public:
  Impl(std::string Ip, uint16_t Port, std::string SourceIp)
      : Ip_(std::move(Ip)), Port_(Port), SourceIp_(std::move(SourceIp)) {}

  /// Starts an asynchronous operation and runs it until it completes. Throws
  /// HttpTimeout when the deadline passes first.
  template <typename Start> error_code runUntilDone(Start StartOperation) {
    std::optional<error_code> Result;
    Io_.restart();
    StartOperation([&Result](error_code Error, size_t = 0) { Result = Error; });
    Io_.run_until(Deadline_);
    if (!Result) {
      close();
      Io_.restart();
      Io_.run();
      throw HttpTimeout("no complete response within the time-out from " +
                        address());
    }
    return *Result;
  }

  void setDeadline(Millis Timeout) {
    Deadline_ = std::chrono::steady_clock::now() +
                std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                    std::chrono::duration<double, std::milli>(Timeout.count()));
  }

  std::string address() const { return Ip_ + ":" + std::to_string(Port_); }

  void connect() {
    if (Socket_.is_open())
      return;
    Buffer_.clear();
    tcp::endpoint Target(asio::ip::make_address(Ip_), Port_);
    error_code Error;
    Socket_.open(Target.protocol(), Error);
    if (!Error && !SourceIp_.empty())
      Socket_.bind(tcp::endpoint(asio::ip::make_address(SourceIp_), 0), Error);
    if (!Error)
      Error =
          runUntilDone([&](auto Done) { Socket_.async_connect(Target, Done); });
    if (Error) {
      close();
      throw HttpNotConnected("cannot connect to " + address() + ": " +
                             Error.message());
    }
    Socket_.set_option(tcp::no_delay(true), Error);
  }

  void close() {
    error_code Ignored;
    Socket_.close(Ignored);
  }

  void send(Request Message) {
    connect();
    IsHeadRequest_ = Message.method() == http::verb::head;
    error_code Error = runUntilDone(
        [&](auto Done) { http::async_write(Socket_, Message, Done); });
    // The server may have responded before it read the whole request, for
    // instance to refuse its size; receive() then returns that response.
    WriteFailed_ = bool(Error);
  }

  HttpReply receive() {
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    Parser.skip(IsHeadRequest_);
    error_code Error = runUntilDone(
        [&](auto Done) { http::async_read(Socket_, Buffer_, Parser, Done); });
    if (Error) {
      close();
      if (!Parser.got_some())
        throw HttpNoResponse("no response from " + address() + ": " +
                             Error.message());
      throw HttpIncompleteResponse(
          "the response of " + address() +
          " is incomplete or malformed: " + Error.message());
    }
    bool CloseAnnounced = !IgnoresAnnouncedClose_ && !Parser.get().keep_alive();
    if (WriteFailed_ || CloseAnnounced)
      close();
    HttpReply Reply;
    Reply.Status_ = static_cast<int>(Parser.get().result_int());
    for (const auto &Field : Parser.get())
      Reply.Fields_.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    Reply.Body_ = std::move(Parser.get().body());
    return Reply;
  }

  std::string Ip_;
  uint16_t Port_;
  std::string SourceIp_;
  asio::io_context Io_;
  tcp::socket Socket_{Io_};
  beast::flat_buffer Buffer_;
  bool IsHeadRequest_ = false;
  bool WriteFailed_ = false;
  bool IgnoresAnnouncedClose_ = false;
  std::chrono::steady_clock::time_point Deadline_;
};

HttpSession::HttpSession(std::string Ip, uint16_t Port, std::string SourceIp)
    : Impl_(std::make_unique<Impl>(std::move(Ip), Port, std::move(SourceIp))) {}

HttpSession::~HttpSession() = default;
HttpSession::HttpSession(HttpSession &&) noexcept = default;
HttpSession &HttpSession::operator=(HttpSession &&) noexcept = default;

HttpReply HttpSession::request(std::string_view Method, std::string_view Target,
                               const std::vector<HttpField> &Headers,
                               std::string_view Body, Millis Timeout) {
  send(Method, Target, Headers, Body, Timeout);
  return Impl_->receive();
}

void HttpSession::send(std::string_view Method, std::string_view Target,
                       const std::vector<HttpField> &Headers,
                       std::string_view Body, Millis Timeout) {
  Impl_->setDeadline(Timeout);
  Impl_->send(makeRequest(Method, Target, Headers, Body, Impl_->address()));
}

HttpReply HttpSession::receive(Millis Timeout) {
  Impl_->setDeadline(Timeout);
  return Impl_->receive();
}

void HttpSession::ignoreAnnouncedClose() {
  Impl_->IgnoresAnnouncedClose_ = true;
}

void HttpSession::close() { Impl_->close(); }

HttpReply request(const std::string &Ip, uint16_t Port, std::string_view Method,
                  std::string_view Target,
                  const std::vector<HttpField> &Headers, std::string_view Body,
                  Millis Timeout, const std::string &SourceIp) {
  HttpSession Session(Ip, Port, SourceIp);
  return Session.request(Method, Target, Headers, Body, Timeout);
}

} // namespace coltsfoot
