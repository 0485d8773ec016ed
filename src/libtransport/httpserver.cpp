#include "httpserver.h"

#include "timer.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <mutex>
#include <optional>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr size_t ReadChunkBytes = 8 * 1024;
constexpr size_t MaxStreamBacklogBytes = 4 * 1024 * 1024;
constexpr Millis AcceptPause{20};

HttpRequest toRequest(http::request<http::string_body> &&Message,
                      const std::string &Remote) {
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Fields_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body_ = std::move(Message.body());
  Request.Remote_ = Remote;
  return Request;
}

/// Fields that belong to one connection and are never passed on.
bool isConnectionField(std::string_view Name) {
  beast::string_view View(Name.data(), Name.size());
  return beast::iequals(View, "Connection") ||
         beast::iequals(View, "Keep-Alive") ||
         beast::iequals(View, "Transfer-Encoding") ||
         beast::iequals(View, "Content-Length");
}

} // namespace

std::string_view HttpRequest::field(std::string_view Name) const {
  beast::string_view Wanted(Name.data(), Name.size());
  for (const HttpField &Field : Fields_)
    if (beast::iequals(Field.Name_, Wanted))
      return Field.Value_;
  return {};
}

struct HttpServer::Shared
    : boost::intrusive_ref_counter<Shared, boost::thread_safe_counter> {
  class Session;
  class Exchange;

  Shared(asio::io_context &Context, const tcp::endpoint &Address,
         Options Limits, Handler OnRequest)
      : Context_(Context), Acceptor_(asio::make_strand(Context), Address),
        PauseTimer_(Acceptor_.get_executor()), Options_(Limits),
        Handler_(std::move(OnRequest)),
        Port_(Acceptor_.local_endpoint().port()) {}

  void accept();
  void pauseAccepting();

  asio::io_context &Context_;
  tcp::acceptor Acceptor_;
  asio::steady_timer PauseTimer_;
  const Options Options_;
  const Handler Handler_;
  const uint16_t Port_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<size_t> Callers_ = 0;
  std::atomic<size_t> Pending_ = 0;
};

/// One caller's connection. Everything in it runs on its strand.
class HttpServer::Shared::Session
    : public boost::intrusive_ref_counter<Session, boost::thread_safe_counter> {
public:
  using Pointer = boost::intrusive_ptr<Session>;

  Session(tcp::socket Socket, boost::intrusive_ptr<Shared> Server)
      : Stream_(std::move(Socket)), Server_(std::move(Server)) {
    error_code Ignored;
    Remote_ = Stream_.socket().remote_endpoint(Ignored).address().to_string();
    Stream_.socket().set_option(tcp::no_delay(true), Ignored);
    ++Server_->Callers_;
  }
  ~Session() { --Server_->Callers_; }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  auto executor() { return Stream_.get_executor(); }
  void awaitRequest();
  void sendAnswer(const boost::intrusive_ptr<Exchange> &Current,
                  const Answer &Reply);
  void startStream(const std::string &ContentType);
  void writeStream(const boost::intrusive_ptr<Exchange> &Current,
                   std::string Piece, bool Last);

private:
  void readRequest();
  void onRequest(const error_code &Error);
  void refuse(int Status, std::string_view Why);
  void watchCaller(const boost::intrusive_ptr<Exchange> &Current);
  void pumpStream(const boost::intrusive_ptr<Exchange> &Current);
  void finishRequest(bool KeepAlive);
  void close();

  beast::tcp_stream Stream_;
  const boost::intrusive_ptr<Shared> Server_;
  std::string Remote_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  std::optional<http::response<http::string_body>> Response_;
  bool KeepAlive_ = false;
  bool ToHead_ = false;
  std::deque<std::string> Pieces_;
  size_t PieceBytes_ = 0;
  bool StreamWriting_ = false;
  bool StreamEnds_ = false;
};

/// One request of a session. It refers to the session until it is answered.
class HttpServer::Shared::Exchange : public HttpExchange {
public:
  Exchange(Session::Pointer Owner, HttpRequest Request)
      : Session_(std::move(Owner)), Request_(std::move(Request)) {}

  ~Exchange() override {
    // A handler that forgot its request must not leave the caller hanging.
    if (Session::Pointer Owner = take())
      asio::post(Owner->executor(), [Owner] {
        Owner->sendAnswer(nullptr, Answer{500, {}, "no answer\n"});
      });
  }

  const HttpRequest &request() const override { return Request_; }

  void respond(Answer Reply) override {
    Session::Pointer Owner = take();
    if (!Owner)
      return;
    asio::dispatch(
        Owner->executor(),
        [Owner, Self = boost::intrusive_ptr<Exchange>(this),
         Reply = std::move(Reply)] { Owner->sendAnswer(Self, Reply); });
  }

  void startStream(std::string_view ContentType) override {
    Session::Pointer Owner = take();
    if (!Owner)
      return;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Streaming_ = Owner;
    }
    asio::post(Owner->executor(), [Owner, Type = std::string(ContentType)] {
      Owner->startStream(Type);
    });
  }

  bool write(std::string Piece) override {
    return stream(std::move(Piece), false);
  }

  void finishStream() override { stream({}, true); }

  void onAbandoned(std::function<void()> Handler) override {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (!Abandoned_) {
        OnAbandoned_ = std::move(Handler);
        return;
      }
    }
    Handler();
  }

  /// The caller has left. Called by the session.
  void abandon() {
    std::function<void()> Handler;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (Abandoned_)
        return;
      Abandoned_ = true;
      Session_ = nullptr;
      Streaming_ = nullptr;
      std::swap(Handler, OnAbandoned_);
    }
    if (Handler)
      Handler();
  }

  /// Returns whether an answer is still owed.
  bool open() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Session_ || Streaming_;
  }

  void forgetHandler() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    OnAbandoned_ = nullptr;
  }

private:
  Session::Pointer take() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return std::exchange(Session_, nullptr);
  }

  bool stream(std::string Piece, bool Last) {
    Session::Pointer Owner;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Owner = Streaming_;
      if (Last)
        Streaming_ = nullptr;
    }
    if (!Owner)
      return false;
    // Posted, so that callers may hold a lock that a callback takes.
    asio::post(Owner->executor(),
               [Owner, Self = boost::intrusive_ptr<Exchange>(this),
                Piece = std::move(Piece), Last]() mutable {
                 Owner->writeStream(Self, std::move(Piece), Last);
               });
    return true;
  }

  std::mutex Mutex_; // guards all but the request
  Session::Pointer Session_;
  Session::Pointer Streaming_;
  const HttpRequest Request_;
  std::function<void()> OnAbandoned_;
  bool Abandoned_ = false;
};

void HttpServer::Shared::accept() {
  if (Stopped_)
    return;
  Acceptor_.async_accept(
      asio::make_strand(Context_),
      [Self = boost::intrusive_ptr<Shared>(this)](const error_code &Error,
                                                  tcp::socket Socket) {
        if (Self->Stopped_)
          return;
        if (Error)
          return Self->pauseAccepting();
        if (Self->Callers_ < Self->Options_.Callers_) {
          Session::Pointer Caller(new Session(std::move(Socket), Self));
          asio::dispatch(Caller->executor(),
                         [Caller] { Caller->awaitRequest(); });
        }
        Self->accept();
      });
}

// Out of file descriptors, say: a pause in place of a busy loop.
void HttpServer::Shared::pauseAccepting() {
  PauseTimer_.expires_after(toChrono(AcceptPause));
  PauseTimer_.async_wait(
      [Self = boost::intrusive_ptr<Shared>(this)](const error_code &Error) {
        if (!Error)
          Self->accept();
      });
}

void HttpServer::Shared::Session::awaitRequest() {
  if (Server_->Stopped_)
    return close();
  Parser_.emplace();
  Parser_->header_limit(static_cast<uint32_t>(Server_->Options_.HeaderBytes_));
  Parser_->body_limit(Server_->Options_.BodyBytes_);
  if (Buffer_.size() > 0)
    return readRequest();
  // An idle caller may wait long; once its first byte has come, the whole
  // request has one fixed time.
  Stream_.expires_after(toChrono(Server_->Options_.Idle_));
  Stream_.async_read_some(
      Buffer_.prepare(ReadChunkBytes),
      [Self = Pointer(this)](const error_code &Error, size_t Size) {
        if (Error)
          return Self->close();
        Self->Buffer_.commit(Size);
        Self->readRequest();
      });
}

void HttpServer::Shared::Session::readRequest() {
  Stream_.expires_after(toChrono(Server_->Options_.RequestTime_));
  http::async_read(Stream_, Buffer_, *Parser_,
                   [Self = Pointer(this)](const error_code &Error, size_t) {
                     Self->onRequest(Error);
                   });
}

void HttpServer::Shared::Session::onRequest(const error_code &Error) {
  if (Error == http::error::header_limit)
    return refuse(431, "the header fields are larger than the limit");
  if (Error == http::error::body_limit)
    return refuse(413, "the body is larger than the limit");
  if (Error == beast::error::timeout)
    return refuse(408, "the request did not arrive whole in time");
  bool Gone = Error == http::error::end_of_stream ||
              Error == http::error::partial_message ||
              Error == asio::error::eof ||
              Error.category() == asio::error::get_system_category();
  if (Error && Gone)
    return close();
  if (Error)
    return refuse(400, "the request is malformed: " + Error.message());
  KeepAlive_ = Parser_->get().keep_alive();
  ToHead_ = Parser_->get().method() == http::verb::head;
  ++Server_->Pending_;
  Stream_.expires_never();
  boost::intrusive_ptr<Exchange> Current(
      new Exchange(Pointer(this), toRequest(Parser_->release(), Remote_)));
  watchCaller(Current);
  Server_->Handler_(Current);
}

void HttpServer::Shared::Session::refuse(int Status, std::string_view Why) {
  KeepAlive_ = false;
  ++Server_->Pending_;
  std::string Body = R"({"verdict":"not-run","reason":")";
  Body += Status == 400 || Status == 408 ? "bad-request" : "too-large";
  Body += R"(","detail":")";
  Body += Why;
  Body += "\"}\n";
  sendAnswer(nullptr, Answer{Status,
                             {{"Content-Type", "application/json"},
                              {"Coltsfoot-Verdict", "not-run"}},
                             std::move(Body)});
}

// Waits beside the handler for the caller to close, so that the work for a
// caller that has left can be cancelled. Bytes of a next request leave the
// watch: that caller is there.
void HttpServer::Shared::Session::watchCaller(
    const boost::intrusive_ptr<Exchange> &Current) {
  Stream_.socket().async_wait(
      tcp::socket::wait_read,
      [Self = Pointer(this), Current](const error_code &Error) {
        if (Error || !Current->open())
          return;
        error_code Failure;
        char Byte = 0;
        Self->Stream_.socket().non_blocking(true, Failure);
        Self->Stream_.socket().receive(asio::buffer(&Byte, 1),
                                       tcp::socket::message_peek, Failure);
        if (!Failure || Failure == asio::error::would_block)
          return;
        Current->abandon();
        --Self->Server_->Pending_;
        Self->Stream_.close();
      });
}

void HttpServer::Shared::Session::sendAnswer(
    const boost::intrusive_ptr<Exchange> &Current, const Answer &Reply) {
  if (Current)
    Current->forgetHandler();
  Response_.emplace();
  Response_->result(static_cast<unsigned>(Reply.Status_));
  for (const HttpField &Field : Reply.Fields_)
    if (!isConnectionField(Field.Name_))
      Response_->insert(Field.Name_, Field.Value_);
  Response_->body() = Reply.Body_;
  Response_->keep_alive(KeepAlive_ && !Server_->Stopped_);
  Response_->prepare_payload();
  if (ToHead_)
    Response_->body().clear();
  Stream_.expires_after(toChrono(Server_->Options_.Idle_));
  http::async_write(Stream_, *Response_,
                    [Self = Pointer(this)](const error_code &Error, size_t) {
                      Self->finishRequest(!Error &&
                                          Self->Response_->keep_alive());
                    });
}

void HttpServer::Shared::Session::finishRequest(bool KeepAlive) {
  --Server_->Pending_;
  if (KeepAlive)
    awaitRequest();
  else
    close();
}

// A stream ends with its connection, so its pieces need no framing.
void HttpServer::Shared::Session::startStream(const std::string &ContentType) {
  KeepAlive_ = false;
  Pieces_.push_back("HTTP/1.1 200 OK\r\nContent-Type: " + ContentType +
                    "\r\nConnection: close\r\n\r\n");
  PieceBytes_ += Pieces_.back().size();
  pumpStream(nullptr);
}

void HttpServer::Shared::Session::writeStream(
    const boost::intrusive_ptr<Exchange> &Current, std::string Piece,
    bool Last) {
  StreamEnds_ = StreamEnds_ || Last;
  PieceBytes_ += Piece.size();
  if (!Piece.empty())
    Pieces_.push_back(std::move(Piece));
  // A reader that does not keep up is cut off; it resumes from its version.
  if (PieceBytes_ > MaxStreamBacklogBytes) {
    Current->abandon();
    return finishRequest(false);
  }
  pumpStream(Current);
}

void HttpServer::Shared::Session::pumpStream(
    const boost::intrusive_ptr<Exchange> &Current) {
  if (StreamWriting_)
    return;
  if (Pieces_.empty()) {
    if (StreamEnds_)
      finishRequest(false);
    return;
  }
  StreamWriting_ = true;
  Stream_.expires_after(toChrono(Server_->Options_.Idle_));
  asio::async_write(
      Stream_, asio::buffer(Pieces_.front()),
      [Self = Pointer(this), Current](const error_code &Error, size_t) {
        Self->StreamWriting_ = false;
        Self->PieceBytes_ -= Self->Pieces_.front().size();
        Self->Pieces_.pop_front();
        if (!Error)
          return Self->pumpStream(Current);
        Self->Pieces_.clear();
        if (Current)
          Current->abandon();
        Self->finishRequest(false);
      });
}

void HttpServer::Shared::Session::close() {
  error_code Ignored;
  Stream_.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  Stream_.close();
}

HttpServer::HttpServer(asio::io_context &Context, const tcp::endpoint &Address,
                       Options Limits, Handler OnRequest)
    : Shared_(new Shared(Context, Address, Limits, std::move(OnRequest))) {}

HttpServer::~HttpServer() { stop(); }

void HttpServer::start() {
  asio::dispatch(Shared_->Acceptor_.get_executor(),
                 [Self = Shared_] { Self->accept(); });
}

void HttpServer::stop() {
  if (Shared_->Stopped_.exchange(true))
    return;
  asio::post(Shared_->Acceptor_.get_executor(), [Self = Shared_] {
    error_code Ignored;
    Self->Acceptor_.close(Ignored);
    Self->PauseTimer_.cancel();
  });
}

uint16_t HttpServer::port() const { return Shared_->Port_; }

size_t HttpServer::pending() const { return Shared_->Pending_; }

} // namespace coltsfoot
