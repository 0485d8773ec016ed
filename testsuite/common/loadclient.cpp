#include "loadclient.h"

#include "timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

using ServerAddress = std::pair<std::string, uint16_t>;
using Stream = std::unique_ptr<beast::tcp_stream>;

/// Idle keep-alive connections by server address. Thread-safe.
class ConnectionPool {
public:
  Stream acquire(const ServerAddress &Server) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto &Idle = Idle_[Server];
    if (Idle.empty())
      return nullptr;
    Stream MostRecent = std::move(Idle.back());
    Idle.pop_back();
    return MostRecent;
  }
  void release(const ServerAddress &Server, Stream IdleStream) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Idle_[Server].push_back(std::move(IdleStream));
  }

private:
  std::mutex Mutex_;
  std::map<ServerAddress, std::vector<Stream>> Idle_;
};

/// One request in flight. Its pending asynchronous operations own it.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(asio::io_context &Context, ConnectionPool &Pool, LoadRequest Request,
           LoadClient::Handler OnEnd)
      : Context_(Context), Pool_(Pool), Server_(Request.Ip_, Request.Port_),
        Timeout_(Request.Timeout_), Handler_(std::move(OnEnd)),
        StartTime_(Clock_.now()) {
    Request_.method_string(Request.Method_);
    Request_.target(Request.Target_);
    Request_.version(11);
    Request_.set(http::field::host, Request.Ip_);
    for (const HttpField &Field : Request.Fields_) {
      if (beast::iequals(Field.Name_, "Host"))
        Request_.set(http::field::host, Field.Value_);
      else
        Request_.insert(Field.Name_, Field.Value_);
    }
    Request_.body() = std::move(Request.Body_);
    Request_.prepare_payload();
  }

  void run() {
    Stream_ = Pool_.acquire(Server_);
    if (Stream_)
      return write();
    Stream_ = std::make_unique<beast::tcp_stream>(asio::make_strand(Context_));
    Stream_->expires_after(toChrono(Timeout_));
    Stream_->async_connect(
        tcp::endpoint(asio::ip::make_address(Server_.first), Server_.second),
        [Self = shared_from_this()](const error_code &Error) {
          if (Error)
            return Self->end(false);
          error_code Ignored;
          Self->Stream_->socket().set_option(tcp::no_delay(true), Ignored);
          Self->write();
        });
  }

private:
  void write() {
    Connected_ = true;
    Stream_->expires_after(toChrono(Timeout_));
    http::async_write(
        *Stream_, Request_,
        [Self = shared_from_this()](const error_code &Error, size_t) {
          if (Error)
            return Self->end(false);
          Self->read();
        });
  }

  void read() {
    http::async_read(
        *Stream_, Buffer_, Response_,
        [Self = shared_from_this()](const error_code &Error, size_t) {
          Self->end(!Error);
        });
  }

  void end(bool Complete) {
    LoadResult Result;
    Result.Latency_ = Clock_.now() - StartTime_;
    Result.Connected_ = Connected_;
    if (Complete) {
      Result.Status_ = static_cast<int>(Response_.result_int());
      for (const auto &Field : Response_)
        Result.Fields_.push_back(
            {std::string(Field.name_string()), std::string(Field.value())});
      Result.Body_ = std::move(Response_.body());
      if (Response_.keep_alive()) {
        Stream_->expires_never();
        Pool_.release(Server_, std::move(Stream_));
      }
    }
    Handler_(Result);
  }

  asio::io_context &Context_;
  ConnectionPool &Pool_;
  const ServerAddress Server_;
  const Millis Timeout_;
  const LoadClient::Handler Handler_;
  const SystemClock Clock_;
  const Millis StartTime_;
  http::request<http::string_body> Request_;
  http::response<http::string_body> Response_;
  beast::flat_buffer Buffer_;
  Stream Stream_;
  bool Connected_ = false;
};

} // namespace

std::string LoadResult::header(std::string_view Name) const {
  beast::string_view Wanted(Name.data(), Name.size());
  for (const HttpField &Field : Fields_)
    if (beast::iequals(Field.Name_, Wanted))
      return Field.Value_;
  return {};
}

class LoadClient::Impl {
public:
  explicit Impl(int Threads) : WorkGuard_(asio::make_work_guard(Context_)) {
    for (int I = 0; I < Threads; ++I)
      Threads_.emplace_back([this] { Context_.run(); });
  }
  ~Impl() {
    Context_.stop();
    for (std::thread &Worker : Threads_)
      Worker.join();
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  asio::io_context Context_;
  ConnectionPool Pool_;
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard_;
  std::vector<std::thread> Threads_;
};

LoadClient::LoadClient(int Threads) : Impl_(std::make_unique<Impl>(Threads)) {}

LoadClient::~LoadClient() = default;

void LoadClient::send(LoadRequest Request, Handler OnEnd) {
  std::make_shared<Exchange>(Impl_->Context_, Impl_->Pool_, std::move(Request),
                             std::move(OnEnd))
      ->run();
}

void LoadClient::after(Millis Delay, std::function<void()> Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(Impl_->Context_);
  Timer->expires_after(toChrono(Delay));
  Timer->async_wait(
      [Timer, Callback = std::move(Callback)](const error_code &Error) {
        if (!Error)
          Callback();
      });
}

} // namespace coltsfoot
