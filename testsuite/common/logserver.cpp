#include "logserver.h"

#include "base64.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <future>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace coltsfoot {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using HttpMessage = http::request<http::string_body>;
using HttpReply = http::response<http::string_body>;
using SteadyClock = std::chrono::steady_clock;

constexpr size_t MaxRecordBytes = 64U << 20U;
constexpr size_t MaxBatchBytes = 8U << 20U;
constexpr std::string_view StreamsPrefix = "/streams/";
constexpr std::string_view ControlPrefix = "/control/";

struct Stream {
  int64_t FirstOffset_ = 0;
  std::vector<std::string> Records_;
  int Reads_ = 0;
  int64_t nextOffset() const {
    return FirstOffset_ + static_cast<int64_t>(Records_.size());
  }
};

std::chrono::milliseconds milliseconds(Millis Span) {
  return std::chrono::milliseconds(Span.whole());
}

/// A request target, split into its path and its query parameters.
struct Target {
  std::string Path_;
  std::map<std::string, std::string, std::less<>> Parameters_;

  explicit Target(std::string_view Text) {
    size_t Query = Text.find('?');
    Path_ = Text.substr(0, Query);
    while (Query != std::string_view::npos) {
      Text.remove_prefix(Query + 1);
      Query = Text.find('&');
      std::string_view Pair = Text.substr(0, Query);
      size_t Equals = std::min(Pair.find('='), Pair.size());
      std::string_view Value =
          Equals < Pair.size() ? Pair.substr(Equals + 1) : "";
      Parameters_[std::string(Pair.substr(0, Equals))] = Value;
    }
  }

  /// Returns the parameter, or the default when it is missing. Returns nullopt
  /// when it is not a non-negative number.
  std::optional<int64_t> number(std::string_view Key, int64_t Default) const {
    auto Found = Parameters_.find(Key);
    if (Found == Parameters_.end())
      return Default;
    const std::string &Text = Found->second;
    int64_t Value = 0;
    auto End = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    if (End.ec != std::errc() || End.ptr != Text.data() + Text.size() ||
        Value < 0)
      return std::nullopt;
    return Value;
  }
};

HttpReply makeReply(unsigned Status, const boost::json::value &Body) {
  HttpReply Reply;
  Reply.version(11);
  Reply.result(Status);
  Reply.set(http::field::content_type, "application/json");
  Reply.body() = boost::json::serialize(Body);
  return Reply;
}

HttpReply makeError(unsigned Status, std::string_view Text) {
  return makeReply(Status, boost::json::object{{"error", Text}});
}

boost::json::object makeBatch(const Stream &From, int64_t Offset, int64_t Max) {
  boost::json::array Records;
  size_t Bytes = 0;
  for (; Offset < From.nextOffset() && Max > 0 && Bytes < MaxBatchBytes;
       --Max) {
    const std::string &Data =
        From.Records_[static_cast<size_t>(Offset - From.FirstOffset_)];
    Records.push_back(
        boost::json::object{{"offset", Offset}, {"data", encodeBase64(Data)}});
    Bytes += Data.size();
    ++Offset;
  }
  return {{"first_offset", From.FirstOffset_},
          {"next_offset", From.nextOffset()},
          {"records", std::move(Records)}};
}

} // namespace

// The mutex guards the streams and the injected faults, which tests change from
// other threads; all sessions run on the server's thread.
class LogServer::Impl : public std::enable_shared_from_this<LogServer::Impl> {
public:
  class Session;

  explicit Impl(uint16_t Port)
      : Acceptor_(Io_, tcp::endpoint(asio::ip::address_v4::loopback(), Port)) {}

  void start() {
    accept();
    Thread_ = std::thread([this] { Io_.run(); });
  }

  void stop() {
    asio::post(Io_, [this] {
      Acceptor_.close();
      closeSessions();
    });
    Thread_.join();
  }

  uint16_t port() const { return Port_; }

  template <typename F> auto withLock(F Function) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Function(*this);
  }

  void dropConnections();

  /// Makes every waiting read check its stream again.
  void wakeReads();

  /// Returns the answer to a request, or nullopt when a read has to wait for
  /// records.
  std::optional<HttpReply> handle(const HttpMessage &Request, bool MayWait);
  HttpReply handleControl(const Target &RequestTarget);
  std::optional<HttpReply> handleRead(const Target &RequestTarget,
                                      bool MayWait);

  /// Returns whether the answer to this request is to be dropped; each call
  /// that returns true uses up one of the requested losses.
  bool losesAnswer(const HttpMessage &Request) {
    return withLock([&](Impl &Self) {
      bool IsAppend = Request.method() == http::verb::post &&
                      Request.target().starts_with(StreamsPrefix);
      if (!IsAppend || Self.Down_ || Self.AnswersToLose_ == 0)
        return false;
      --Self.AnswersToLose_;
      return true;
    });
  }

  int64_t append(std::string_view Name, std::string_view Data) {
    int64_t Offset = withLock([&](Impl &Self) {
      Stream &To = Self.Streams_[std::string(Name)];
      To.Records_.emplace_back(Data);
      return To.nextOffset() - 1;
    });
    wakeReads();
    return Offset;
  }

  void trim(std::string_view Name, int64_t NewFirstOffset) {
    withLock([&](Impl &Self) {
      Stream &From = Self.Streams_[std::string(Name)];
      int64_t Count =
          std::clamp<int64_t>(NewFirstOffset - From.FirstOffset_, 0,
                              From.nextOffset() - From.FirstOffset_);
      From.Records_.erase(From.Records_.begin(), From.Records_.begin() + Count);
      From.FirstOffset_ += Count;
    });
    wakeReads();
  }

  std::map<std::string, Stream, std::less<>> Streams_;
  bool Down_ = false;
  Millis Delay_;
  int AnswersToLose_ = 0;

private:
  void accept();
  void closeSessions();

  asio::io_context Io_;
  tcp::acceptor Acceptor_;
  uint16_t Port_ = Acceptor_.local_endpoint().port();
  std::list<std::weak_ptr<Session>> Sessions_;
  std::mutex Mutex_;
  std::thread Thread_;
};

class LogServer::Impl::Session
    : public std::enable_shared_from_this<LogServer::Impl::Session> {
public:
  Session(tcp::socket Socket, LogServer::Impl &Server)
      : Stream_(std::move(Socket)), Timer_(Stream_.get_executor()),
        Server_(Server) {}

  void readRequest() {
    Parser_.emplace();
    Parser_->body_limit(MaxRecordBytes);
    http::async_read(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](beast::error_code Error, size_t) {
          if (!Error)
            Self->onRequest();
        });
  }

  /// Ends the wait of a read, so that it checks its stream again.
  void wake() {
    if (IsWaiting_)
      Timer_.cancel();
  }

  void close() {
    Closed_ = true;
    Timer_.cancel();
    Stream_.close();
  }

private:
  void onRequest() {
    Request_ = Parser_->release();
    Target RequestTarget(std::string_view(Request_.target()));
    int64_t WaitMs = RequestTarget.number("wait_ms", 0).value_or(0);
    WaitUntil_ = SteadyClock::now() + std::chrono::milliseconds(WaitMs);
    bool LosesAnswer = Server_.losesAnswer(Request_);
    std::optional<HttpReply> Reply = Server_.handle(Request_, WaitMs > 0);
    if (LosesAnswer)
      close();
    else if (Reply)
      delayReply(std::move(*Reply));
    else
      wait();
  }

  void wait() {
    IsWaiting_ = true;
    Timer_.expires_at(WaitUntil_);
    Timer_.async_wait([Self = shared_from_this()](beast::error_code) {
      Self->onWaitEnded();
    });
  }

  void onWaitEnded() {
    IsWaiting_ = false;
    if (Closed_)
      return;
    bool MayWait = SteadyClock::now() < WaitUntil_;
    std::optional<HttpReply> Reply = Server_.handle(Request_, MayWait);
    if (Reply)
      delayReply(std::move(*Reply));
    else
      wait();
  }

  void delayReply(HttpReply Reply) {
    Reply_ = std::move(Reply);
    Reply_.keep_alive(Request_.keep_alive());
    Reply_.prepare_payload();
    Millis Delay = Server_.withLock([](Impl &Server) { return Server.Delay_; });
    if (Delay <= Millis(0)) {
      writeReply();
      return;
    }
    Timer_.expires_after(milliseconds(Delay));
    Timer_.async_wait([Self = shared_from_this()](beast::error_code) {
      if (!Self->Closed_)
        Self->writeReply();
    });
  }

  void writeReply() {
    http::async_write(
        Stream_, Reply_,
        [Self = shared_from_this()](beast::error_code Error, size_t) {
          if (!Error && Self->Request_.keep_alive())
            Self->readRequest();
        });
  }

  beast::tcp_stream Stream_;
  asio::steady_timer Timer_;
  LogServer::Impl &Server_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  HttpMessage Request_;
  HttpReply Reply_;
  SteadyClock::time_point WaitUntil_;
  bool IsWaiting_ = false;
  bool Closed_ = false;
};

void LogServer::Impl::accept() {
  Acceptor_.async_accept([this](beast::error_code Error, tcp::socket Socket) {
    if (Error)
      return;
    Socket.set_option(tcp::no_delay(true), Error);
    auto Next = std::make_shared<Session>(std::move(Socket), *this);
    Sessions_.remove_if([](const auto &Each) { return Each.expired(); });
    Sessions_.push_back(Next);
    Next->readRequest();
    accept();
  });
}

void LogServer::Impl::closeSessions() {
  for (const auto &Each : Sessions_)
    if (auto Alive = Each.lock())
      Alive->close();
}

void LogServer::Impl::dropConnections() {
  std::promise<void> Closed;
  asio::post(Io_, [&] {
    closeSessions();
    Closed.set_value();
  });
  Closed.get_future().wait();
}

void LogServer::Impl::wakeReads() {
  asio::post(Io_, [this] {
    for (const auto &Each : Sessions_)
      if (auto Alive = Each.lock())
        Alive->wake();
  });
}

std::optional<HttpReply> LogServer::Impl::handle(const HttpMessage &Request,
                                                 bool MayWait) {
  Target RequestTarget{std::string_view(Request.target())};
  bool IsPost = Request.method() == http::verb::post;
  if (IsPost && RequestTarget.Path_.starts_with(ControlPrefix))
    return handleControl(RequestTarget);
  bool IsRead = Request.method() == http::verb::get;
  if ((!IsPost && !IsRead) || !RequestTarget.Path_.starts_with(StreamsPrefix))
    return makeError(
        404,
        "expected GET or POST of /streams/NAME, or POST of /control/COMMAND");
  if (withLock([](Impl &Self) { return Self.Down_; }))
    return makeError(503, "outage set by the test");
  if (IsRead)
    return handleRead(RequestTarget, MayWait);
  int64_t Offset =
      append(RequestTarget.Path_.substr(StreamsPrefix.size()), Request.body());
  return makeReply(200, boost::json::object{{"offset", Offset}});
}

std::optional<HttpReply>
LogServer::Impl::handleRead(const Target &RequestTarget, bool MayWait) {
  std::optional<int64_t> From = RequestTarget.number("from", 0);
  std::optional<int64_t> Max = RequestTarget.number("max", 100);
  if (!From || !Max || !RequestTarget.number("wait_ms", 0))
    return makeError(400,
                     "expected non-negative numbers in from, max and wait_ms");
  return withLock([&](Impl &Self) -> std::optional<HttpReply> {
    Stream &Source =
        Self.Streams_[RequestTarget.Path_.substr(StreamsPrefix.size())];
    ++Source.Reads_;
    if (*From < Source.FirstOffset_)
      return makeReply(
          410, boost::json::object{{"first_offset", Source.FirstOffset_}});
    if (*From >= Source.nextOffset() && MayWait)
      return std::nullopt;
    return makeReply(200, makeBatch(Source, *From, *Max));
  });
}

HttpReply LogServer::Impl::handleControl(const Target &RequestTarget) {
  std::string_view Command =
      std::string_view(RequestTarget.Path_).substr(ControlPrefix.size());
  std::optional<int64_t> DelayMs = RequestTarget.number("ms", 0);
  std::optional<int64_t> Count = RequestTarget.number("n", 1);
  std::optional<int64_t> First = RequestTarget.number("first", 0);
  if (!DelayMs || !Count || !First)
    return makeError(400, "expected non-negative numbers in ms, n and first");
  auto StreamName = RequestTarget.Parameters_.find("stream");
  if (Command == "trim" && StreamName == RequestTarget.Parameters_.end())
    return makeError(400, "trim: expected the parameter stream");
  if (Command == "trim")
    trim(StreamName->second, *First);
  else if (Command == "down" || Command == "up")
    withLock([&](Impl &Self) { Self.Down_ = Command == "down"; });
  else if (Command == "delay")
    withLock([&](Impl &Self) {
      Self.Delay_ = Millis(static_cast<double>(*DelayMs));
    });
  else if (Command == "lose")
    withLock(
        [&](Impl &Self) { Self.AnswersToLose_ = static_cast<int>(*Count); });
  else
    return makeError(404, "expected the command down, up, delay, lose or trim");
  wakeReads();
  return makeReply(200, boost::json::object());
}

LogServer::LogServer(uint16_t Port) : Impl_(std::make_shared<Impl>(Port)) {
  Impl_->start();
}

LogServer::~LogServer() { Impl_->stop(); }

uint16_t LogServer::port() const { return Impl_->port(); }

void LogServer::setDown(bool Down) {
  Impl_->withLock([&](Impl &Self) { Self.Down_ = Down; });
  Impl_->wakeReads();
}

void LogServer::setDelay(Millis Delay) {
  Impl_->withLock([&](Impl &Self) { Self.Delay_ = Delay; });
}

void LogServer::loseNextAppendAnswers(int Count) {
  Impl_->withLock([&](Impl &Self) { Self.AnswersToLose_ = Count; });
}

void LogServer::dropConnections() { Impl_->dropConnections(); }

void LogServer::trim(std::string_view Stream, int64_t FirstOffset) {
  Impl_->trim(Stream, FirstOffset);
}

int64_t LogServer::append(std::string_view Stream, std::string_view Data) {
  return Impl_->append(Stream, Data);
}

std::vector<LogRecord> LogServer::records(std::string_view Name) const {
  return Impl_->withLock([&](Impl &Self) {
    std::vector<LogRecord> Records;
    Stream &Source = Self.Streams_[std::string(Name)];
    int64_t Offset = Source.FirstOffset_;
    for (const std::string &Data : Source.Records_)
      Records.push_back({Offset++, Data});
    return Records;
  });
}

int LogServer::reads(std::string_view Name) const {
  return Impl_->withLock(
      [&](Impl &Self) { return Self.Streams_[std::string(Name)].Reads_; });
}

} // namespace coltsfoot
