#include "serialhttpclient.h"

#include "httpframing.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <utility>

namespace coltsfoot {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Steady = std::chrono::steady_clock;

constexpr int HttpVersion11 = 11;
/// Limit of received bytes that the parser has not consumed: a response head,
/// chunk header or trailer must fit in it.
constexpr size_t MaxUnparsedBytes = size_t{64} * 1024;

Steady::duration toDuration(Millis Span) {
  return std::chrono::duration_cast<Steady::duration>(
      std::chrono::duration<double, std::milli>(Span.count()));
}

} // namespace

// All members are used on the strand only. At most one request is in progress
// on the connection.
class SerialHttpClient::Impl
    : public std::enable_shared_from_this<SerialHttpClient::Impl> {
public:
  Impl(asio::io_context &Io, Options Settings)
      : Settings_(std::move(Settings)), Strand_(asio::make_strand(Io)),
        Stream_(Strand_) {}

  void send(SerialHttpRequest Request, Handler Done) {
    asio::post(Strand_,
               [Self = shared_from_this(),
                Queued = QueuedRequest{std::move(Request), std::move(Done),
                                       Steady::now()}]() mutable {
                 Self->enqueue(std::move(Queued));
               });
  }

  // The operation in progress ends with an error, which ends the request.
  void abandon() {
    asio::post(Strand_, [Self = shared_from_this()] {
      if (Self->Current_)
        Self->disconnect();
    });
  }

  void close() {
    asio::post(Strand_, [Self = shared_from_this()] {
      Self->Closed_ = true;
      Self->Queue_.clear();
      Self->Current_.reset();
      Self->Stream_.close();
    });
  }

private:
  struct QueuedRequest {
    SerialHttpRequest Request_;
    Handler Done_;
    Steady::time_point QueuedAt_;
  };

  void enqueue(QueuedRequest Queued) {
    if (Closed_)
      return;
    if (Queue_.size() >= Settings_.MaxQueued_) {
      Queued.Done_(HttpNotSent{"request queue is full"});
      return;
    }
    Queue_.push_back(std::move(Queued));
    if (!Current_)
      startNext();
  }

  void startNext() {
    if (Closed_ || Queue_.empty())
      return;
    Current_ = std::move(Queue_.front());
    Queue_.pop_front();
    Steady::duration Waited = Steady::now() - Current_->QueuedAt_;
    if (Waited > toDuration(Current_->Request_.QueueTimeout_))
      finish(HttpNotSent{"request exceeded its maximum time in the queue"});
    else if (isReusable())
      write();
    else
      connect();
  }

  // Servers close idle connections, and a request written to a closed
  // connection fails although it could have been sent on a new one. Unread
  // bytes, whether still in the socket or read together with the last response,
  // or a pending end of stream show that the connection must not be used again.
  bool isReusable() {
    if (!Connected_ || Buffer_.size() > 0)
      return false;
    if (Steady::now() - LastUse_ > toDuration(Settings_.IdleTimeout_))
      return false;
    char Byte = 0;
    beast::error_code Error;
    Stream_.socket().non_blocking(true, Error);
    Stream_.socket().receive(asio::buffer(&Byte, 1),
                             asio::socket_base::message_peek, Error);
    return Error == asio::error::would_block;
  }

  void connect() {
    disconnect();
    Stream_.expires_after(toDuration(Settings_.ConnectTimeout_));
    Stream_.async_connect(Settings_.Server_,
                          [Self = shared_from_this()](beast::error_code Error) {
                            Self->onConnect(Error);
                          });
  }

  void onConnect(beast::error_code Error) {
    if (Closed_)
      return;
    if (Error) {
      disconnect();
      finish(HttpNotSent{"connecting failed: " + Error.message()});
      return;
    }
    Connected_ = true;
    Stream_.socket().set_option(asio::ip::tcp::no_delay(true), Error);
    write();
  }

  void write() {
    SerialHttpRequest &Request = Current_->Request_;
    Message_ = {};
    Message_.version(HttpVersion11);
    Message_.method_string(Request.Method_);
    Message_.target(Request.Target_);
    Message_.set(http::field::host, HostField_);
    Message_.body() = std::move(Request.Body_);
    Message_.prepare_payload();
    Parser_.emplace();
    Parser_->body_limit(Settings_.MaxResponseBytes_);
    Stream_.expires_after(toDuration(Request.Timeout_));
    http::async_write(
        Stream_, Message_,
        [Self = shared_from_this()](beast::error_code Error, size_t) {
          Self->onWrite(Error);
        });
  }

  void onWrite(beast::error_code Error) {
    if (Closed_)
      return;
    if (Error) {
      finishUnknown("sending the request failed: " + Error.message());
      return;
    }
    http::async_read(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](beast::error_code Error, size_t) {
          Self->onRead(Error);
        });
  }

  void onRead(beast::error_code Error) {
    if (Closed_)
      return;
    if (Error) {
      finishUnknown("receiving the response failed: " + Error.message());
      return;
    }
    Stream_.expires_never();
    LastUse_ = Steady::now();
    http::response<http::string_body> Message = Parser_->release();
    int Status = static_cast<int>(Message.result_int());
    // The final response that follows an interim one would be taken for that of
    // the next request.
    if (!isHttpStatus(Status))
      return finishUnknown("received a status that HTTP does not define");
    if (!isFinalHttpStatus(Status))
      return finishUnknown("received an interim response");
    // Bytes after the response belong to no request.
    if (!Message.keep_alive() || Buffer_.size() > 0)
      disconnect();
    std::vector<HttpField> Fields;
    for (const auto &Field : Message)
      Fields.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    finish(HttpResponse{Status, std::move(Message.body()), std::move(Fields)});
  }

  void finishUnknown(std::string Why) {
    disconnect();
    finish(HttpOutcomeUnknown{std::move(Why)});
  }

  void finish(const HttpResult &Result) {
    Handler Done = std::move(Current_->Done_);
    Current_.reset();
    Done(Result);
    if (!Current_)
      startNext();
  }

  void disconnect() {
    Connected_ = false;
    Stream_.close();
    Buffer_.clear();
  }

  Options Settings_;
  std::string HostField_ = Settings_.Server_.address().to_string() + ":" +
                           std::to_string(Settings_.Server_.port());
  asio::strand<asio::io_context::executor_type> Strand_;
  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_{MaxUnparsedBytes};
  http::request<http::string_body> Message_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  std::deque<QueuedRequest> Queue_;
  std::optional<QueuedRequest> Current_;
  Steady::time_point LastUse_;
  bool Connected_ = false;
  bool Closed_ = false;
};

SerialHttpClient::SerialHttpClient(asio::io_context &Io, Options Settings)
    : Impl_(std::make_shared<Impl>(Io, std::move(Settings))) {}

SerialHttpClient::~SerialHttpClient() { Impl_->close(); }

void SerialHttpClient::send(SerialHttpRequest Request, Handler Done) {
  Impl_->send(std::move(Request), std::move(Done));
}

void SerialHttpClient::abandon() { Impl_->abandon(); }

} // namespace coltsfoot
