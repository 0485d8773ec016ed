#include "httpserversession.h"

#include "httpframing.h"
#include "timer.h"

#include "coltsfootpoint/log.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <vector>

namespace coltsfoot {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr size_t MaxStreamBacklogBytes = size_t{4} * 1024 * 1024;
constexpr size_t MaxPipelinedBytes = size_t{64} * 1024;
constexpr size_t MaxChunkHeadBytes = size_t{4} * 1024;
constexpr size_t MaxFieldBytes = size_t{60} * 1024;
constexpr size_t MaxLingerBytes = size_t{8} * 1024 * 1024;
constexpr Millis LingerTime{1000};
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

boost::beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Tells what a parser's error means to the caller: a status and a text.
std::pair<int, std::string> refusalOf(const error_code &Error) {
  if (Error == http::error::header_limit)
    return {431, "the header fields are larger than the limit"};
  if (Error == http::error::body_limit)
    return {413, "the body is larger than the limit"};
  if (Error == http::error::bad_version)
    return {505, "the version is neither HTTP/1.0 nor HTTP/1.1"};
  return {400, "the request is malformed: " + Error.message()};
}

std::string_view reasonOfStatus(int Status) {
  return Status == 413 || Status == 431 ? "too-large" : "bad-request";
}

bool hasNoBody(int Status) { return Status == 204 || Status == 304; }

/// Returns the length that an answer to a HEAD request announces, if any.
std::string headLength(const Answer &Reply) {
  if (!Reply.Body_.empty())
    return std::to_string(Reply.Body_.size());
  for (const HttpField &Field : Reply.Fields_)
    if (equalNames(Field.Name_, "Content-Length") &&
        Field.Value_.find_first_not_of("0123456789") == std::string::npos)
      return Field.Value_;
  return {};
}

using Response = http::response<http::string_body>;

// A field that could split the answer is left out.
void copyFields(const Answer &Reply, Response &Out) {
  for (const HttpField &Field : Reply.Fields_)
    if (!isConnectionField(Field.Name_) && isHttpToken(Field.Name_) &&
        isHttpFieldValue(Field.Value_) &&
        Field.Name_.size() + Field.Value_.size() <= MaxFieldBytes)
      Out.insert(toBeast(Field.Name_), toBeast(Field.Value_));
}

Response toResponse(const Answer &Reply, bool ToHead) {
  Response Out;
  // A status that ends no exchange can't have been meant as an answer.
  bool Final = Reply.Status_ >= 200 && Reply.Status_ <= 999;
  Out.result(static_cast<unsigned>(Final ? Reply.Status_ : 502));
  copyFields(Reply, Out);
  if (hasNoBody(Reply.Status_))
    return Out;
  if (!ToHead) {
    Out.body() = Reply.Body_;
    Out.content_length(Reply.Body_.size());
    return Out;
  }
  std::string Length = headLength(Reply);
  if (!Length.empty())
    Out.set(http::field::content_length, toBeast(Length));
  return Out;
}

} // namespace

/// The request that is being received, and its answer.
struct HttpServerSession::Message {
  http::request_parser<http::string_body> Parser_;
  HttpRequest Request_;
  bool HeadDone_ = false;
  bool KeepAlive_ = false;
  bool ToHead_ = false;
  Response Response_;
};

/// The answer that a session owes for a request. The session and the exchange
/// refer to it, so that an exchange that is dropped is noticed.
class HttpServerSession::Owed
    : public boost::intrusive_ref_counter<Owed, boost::thread_safe_counter> {
public:
  explicit Owed(Pointer Owner) : Session_(std::move(Owner)) {}

  /// Claims the right to answer; empty when it is gone.
  Pointer claim() {
    std::function<void()> Unused;
    std::lock_guard<std::mutex> Lock(Mutex_);
    Pointer Owner = std::exchange(Session_, nullptr);
    if (Owner)
      std::swap(Unused, OnAbandoned_);
    return Owner;
  }

  /// Claims the right to answer by a stream.
  Pointer claimStream() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Streaming_ = std::exchange(Session_, nullptr);
    return Streaming_;
  }

  /// Returns the session while its stream is open, and ends it if told so.
  Pointer stream(bool Last) {
    std::function<void()> Unused;
    std::lock_guard<std::mutex> Lock(Mutex_);
    Pointer Owner = Streaming_;
    if (Last) {
      Streaming_ = nullptr;
      std::swap(Unused, OnAbandoned_);
    }
    return Owner;
  }

  /// The caller has left. Returns whether an answer was still owed.
  bool abandon() {
    std::function<void()> Handler;
    Pointer Owner;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (!Session_ && !Streaming_)
        return false;
      Abandoned_ = true;
      Owner = std::exchange(Session_, nullptr);
      if (Streaming_)
        Owner = std::exchange(Streaming_, nullptr);
      std::swap(Handler, OnAbandoned_);
    }
    if (Handler)
      Handler();
    return true;
  }

  void setHandler(std::function<void()> Handler) {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (!Abandoned_) {
        // Swapped, so that what the former one held is destroyed unlocked.
        if (Session_ || Streaming_ || !Handler)
          std::swap(OnAbandoned_, Handler);
        return;
      }
    }
    if (Handler)
      Handler();
  }

private:
  std::mutex Mutex_; // guards the members below
  Pointer Session_;
  Pointer Streaming_;
  std::function<void()> OnAbandoned_;
  bool Abandoned_ = false;
};

/// One request of a session, as its handler holds it.
class HttpServerSession::Exchange : public HttpExchange {
public:
  Exchange(boost::intrusive_ptr<Owed> Answer, HttpRequest Request)
      : Owed_(std::move(Answer)), Request_(std::move(Request)) {}

  ~Exchange() override {
    // A handler that forgot its request must not leave the caller hanging.
    if (auto Owner = Owed_->claim())
      asio::post(Owner->executor(), [Owner] {
        Owner->sendAnswer(Answer{500, {}, "no answer\n"});
      });
    Exchange::finishStream();
  }

  const HttpRequest &request() const override { return Request_; }

  void respond(Answer Reply) override {
    auto Owner = Owed_->claim();
    if (!Owner)
      return;
    asio::dispatch(Owner->executor(), [Owner, Reply = std::move(Reply)] {
      Owner->sendAnswer(Reply);
    });
  }

  void startStream(std::string_view ContentType) override {
    auto Owner = Owed_->claimStream();
    if (!Owner)
      return;
    asio::post(Owner->executor(), [Owner, Type = std::string(ContentType)] {
      Owner->startStream(Type);
    });
  }

  bool write(std::string Piece) override {
    return stream(std::move(Piece), false);
  }

  void finishStream() override { stream({}, true); }

  void onAbandoned(std::function<void()> Handler) override {
    Owed_->setHandler(std::move(Handler));
  }

private:
  bool stream(std::string Piece, bool Last) {
    auto Owner = Owed_->stream(Last);
    if (!Owner)
      return false;
    // Posted, so that callers may hold a lock that a callback takes.
    asio::post(Owner->executor(),
               [Owner, Piece = std::move(Piece), Last]() mutable {
                 Owner->writeStream(std::move(Piece), Last);
               });
    return true;
  }

  const boost::intrusive_ptr<Owed> Owed_;
  const HttpRequest Request_;
};

void HttpServerState::add(HttpServerSession &Session) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Stopped_)
    return;
  intrusive_ptr_add_ref(&Session);
  Sessions_.push_back(Session);
}

void HttpServerState::remove(HttpServerSession &Session) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Session.is_linked())
      return;
    Sessions_.erase(Sessions_.iterator_to(Session));
  }
  intrusive_ptr_release(&Session);
}

void HttpServerState::stopAll() {
  std::vector<HttpServerSession::Pointer> Open;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Sessions_.clear_and_dispose(
        [&](HttpServerSession *Session) { Open.emplace_back(Session, false); });
  }
  for (const HttpServerSession::Pointer &Session : Open)
    Session->stop();
}

HttpServerSession::HttpServerSession(
    tcp::socket Socket, boost::intrusive_ptr<HttpServerState> Server)
    : Socket_(std::move(Socket)), Timer_(Socket_.get_executor()),
      Server_(std::move(Server)) {
  error_code Ignored;
  Remote_ = Socket_.remote_endpoint(Ignored).address().to_string();
  Socket_.set_option(tcp::no_delay(true), Ignored);
  ++Server_->Callers_;
}

HttpServerSession::~HttpServerSession() { --Server_->Callers_; }

void HttpServerSession::start() {
  Server_->add(*this);
  asio::dispatch(executor(), [Self = Pointer(this)] { Self->awaitRequest(); });
}

// Watchers resume elsewhere; an open stream must not hold up a stop.
void HttpServerSession::stop() {
  asio::post(executor(), [Self = Pointer(this)] {
    if (Self->Phase_ != Phase::Streaming)
      return;
    Self->Owed_->abandon();
    Self->StreamEnds_ = true;
    Self->pumpStream();
  });
}

// An idle caller may wait long; once its first byte has come, the whole
// request has one fixed time.
void HttpServerSession::awaitRequest() {
  Message_ = std::make_unique<Message>();
  Owed_ = nullptr;
  Message_->Parser_.header_limit(
      static_cast<uint32_t>(Server_->Options_.HeaderBytes_));
  Message_->Parser_.body_limit(Server_->Options_.BodyBytes_);
  Phase_ = In_.empty() ? Phase::Idle : Phase::Receiving;
  if (Phase_ == Phase::Receiving) {
    arm(Server_->Options_.RequestTime_);
    return parse();
  }
  In_.shrink_to_fit();
  arm(Server_->Options_.Idle_);
  read();
}

void HttpServerSession::read() {
  if (Reading_ || CallerEnded_ || Phase_ == Phase::Closed)
    return;
  Reading_ = true;
  Socket_.async_read_some(
      asio::buffer(Chunk_),
      [Self = Pointer(this)](const error_code &Error, size_t Size) {
        Self->Reading_ = false;
        if (Self->Phase_ == Phase::Closed)
          return;
        if (Error)
          Self->onCallerEnd();
        else
          Self->onRead(Size);
      });
}

void HttpServerSession::onRead(size_t Size) {
  if (Phase_ == Phase::Lingering) {
    LingeredBytes_ += Size;
    return LingeredBytes_ > MaxLingerBytes ? close() : read();
  }
  In_.append(Chunk_.data(), Size);
  if (Phase_ == Phase::Idle) {
    Phase_ = Phase::Receiving;
    arm(Server_->Options_.RequestTime_);
  }
  if (Phase_ == Phase::Receiving)
    return parse();
  if (In_.size() < MaxPipelinedBytes)
    read();
}

// The end of the caller's bytes counts as its leaving, since a closed and a
// half-closed connection look alike until the answer is lost.
void HttpServerSession::onCallerEnd() {
  CallerEnded_ = true;
  if (Phase_ == Phase::Sending)
    return;
  if (Phase_ == Phase::Streaming)
    return cutStream();
  if (Phase_ != Phase::Working)
    return close();
  // When the answer is on its way already, sendAnswer() comes next.
  boost::intrusive_ptr<Owed> Current = Owed_;
  if (!Current->abandon())
    return;
  --Server_->Pending_;
  close();
}

void HttpServerSession::parse() {
  if (!Message_->HeadDone_ && !takeHead())
    return;
  takeBody();
}

// The head is checked as it came, before Beast joins folded lines and lets
// equal lengths pass. Its fields are copied at once, since Beast would add
// those of a trailer.
bool HttpServerSession::takeHead() {
  size_t End = In_.find(HeadEnd);
  size_t Size = End == std::string::npos ? In_.size() : End + HeadEnd.size();
  if (Size > Server_->Options_.HeaderBytes_) {
    refuse(431, refusalOf(http::error::header_limit).second);
    return false;
  }
  if (End == std::string::npos) {
    read();
    return false;
  }
  auto &Parser = Message_->Parser_;
  error_code Error;
  Parser.put(asio::buffer(In_.data(), Size), Error);
  std::string_view Fault =
      requestHeadFault(std::string_view(In_).substr(0, Size));
  In_.erase(0, Size);
  bool Whole = Parser.is_header_done();
  if (Error == http::error::need_more)
    Error = {};
  if (!Fault.empty()) {
    refuse(400, Fault);
    return false;
  }
  if (Error || !Whole) {
    auto [Status, Why] = refusalOf(Error);
    refuse(Status, Why);
    return false;
  }
  readFields();
  // Asked before the body, which this caller holds back until then.
  bool Asked = equalNames(Message_->Request_.field("Expect"), "100-continue");
  if (Asked && !Parser.is_done() && In_.empty())
    Socket_.async_write_some(
        asio::buffer(Continue),
        [Self = Pointer(this)](const error_code &, size_t) {});
  return true;
}

void HttpServerSession::readFields() {
  auto &Parser = Message_->Parser_;
  HttpRequest &Request = Message_->Request_;
  const auto &Head = Parser.get();
  Request.Method_ = std::string(Head.method_string());
  Request.Target_ = std::string(Head.target());
  for (const auto &Field : Head)
    Request.Fields_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Remote_ = Remote_;
  Message_->KeepAlive_ = Parser.keep_alive();
  Message_->ToHead_ = Head.method() == http::verb::head;
  Message_->HeadDone_ = true;
  Parser.eager(true);
}

void HttpServerSession::takeBody() {
  auto &Parser = Message_->Parser_;
  while (!Parser.is_done()) {
    if (In_.empty())
      return read();
    error_code Error;
    size_t Used = Parser.put(asio::buffer(In_), Error);
    In_.erase(0, Used);
    if (Error && Error != http::error::need_more) {
      auto [Status, Why] = refusalOf(Error);
      return refuse(Status, Why);
    }
    if (Used > 0 || Parser.is_done())
      continue;
    if (In_.size() > MaxChunkHeadBytes)
      return refuse(400, "the head of a chunk is larger than the limit");
    return read();
  }
  handle();
}

void HttpServerSession::handle() {
  disarm();
  Phase_ = Phase::Working;
  ++Server_->Pending_;
  HttpRequest Request = std::move(Message_->Request_);
  Request.Body_ = std::move(Message_->Parser_.get().body());
  Owed_ = new Owed(Pointer(this));
  HttpExchange::Pointer Current(new Exchange(Owed_, std::move(Request)));
  read();
  try {
    Server_->Handler_(std::move(Current));
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Error, "request_handler_failed",
             {{"error", Error.what()}});
  }
}

void HttpServerSession::refuse(int Status, std::string_view Why) {
  Message_->KeepAlive_ = false;
  ++Server_->Pending_;
  Phase_ = Phase::Working;
  std::string Body = R"({"verdict":"not-run","reason":")";
  Body += reasonOfStatus(Status);
  Body += R"(","detail":")";
  Body += Why;
  Body += "\"}\n";
  sendAnswer(Answer{
      Status,
      {{"Content-Type", "application/json"}, {"Coltsfoot-Verdict", "not-run"}},
      std::move(Body)});
}

void HttpServerSession::sendAnswer(const Answer &Reply) {
  if (Phase_ != Phase::Working)
    return;
  Phase_ = Phase::Sending;
  Message_->Response_ = toResponse(Reply, Message_->ToHead_);
  Message_->Response_.keep_alive(Message_->KeepAlive_ && !Server_->Stopped_ &&
                                 !Server_->EndsKept_);
  arm(Server_->Options_.Idle_);
  http::async_write(Socket_, Message_->Response_,
                    [Self = Pointer(this)](const error_code &Error, size_t) {
                      if (Self->Phase_ != Phase::Sending)
                        return;
                      if (Error) {
                        --Self->Server_->Pending_;
                        return Self->close();
                      }
                      Self->finishAnswer(
                          Self->Message_->Response_.keep_alive());
                    });
}

void HttpServerSession::finishAnswer(bool KeepAlive) {
  --Server_->Pending_;
  if (KeepAlive && !CallerEnded_)
    awaitRequest();
  else
    linger();
}

// A stream ends with its connection, so its pieces need no framing.
void HttpServerSession::startStream(const std::string &ContentType) {
  if (Phase_ != Phase::Working)
    return;
  Phase_ = Phase::Streaming;
  std::string Type =
      isHttpFieldValue(ContentType) ? ContentType : "application/octet-stream";
  Pieces_.push_back("HTTP/1.1 200 OK\r\nContent-Type: " + Type +
                    "\r\nConnection: close\r\n\r\n");
  PieceBytes_ += Pieces_.back().size();
  if (Message_->ToHead_ || Server_->Stopped_) {
    Owed_->abandon();
    StreamEnds_ = true;
  }
  pumpStream();
}

void HttpServerSession::writeStream(std::string Piece, bool Last) {
  if (Phase_ != Phase::Streaming || StreamEnds_)
    return;
  StreamEnds_ = Last;
  PieceBytes_ += Piece.size();
  if (!Piece.empty())
    Pieces_.push_back(std::move(Piece));
  // A reader that does not keep up is cut off; it resumes from its version.
  if (PieceBytes_ > MaxStreamBacklogBytes)
    return cutStream();
  pumpStream();
}

void HttpServerSession::pumpStream() {
  if (StreamWriting_)
    return;
  if (Pieces_.empty()) {
    disarm();
    if (StreamEnds_)
      finishAnswer(false);
    return;
  }
  StreamWriting_ = true;
  arm(Server_->Options_.Idle_);
  asio::async_write(Socket_, asio::buffer(Pieces_.front()),
                    [Self = Pointer(this)](const error_code &Error, size_t) {
                      Self->StreamWriting_ = false;
                      Self->PieceBytes_ -= Self->Pieces_.front().size();
                      Self->Pieces_.pop_front();
                      if (Self->Phase_ != Phase::Streaming)
                        return;
                      if (Error)
                        Self->cutStream();
                      else
                        Self->pumpStream();
                    });
}

void HttpServerSession::cutStream() {
  --Server_->Pending_;
  boost::intrusive_ptr<Owed> Current = Owed_;
  close();
  Current->abandon();
}

// Closing with unread bytes would reset the connection, and the reset could
// overtake the answer; so the caller's bytes are read on for a while.
void HttpServerSession::linger() {
  error_code Ignored;
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  if (CallerEnded_)
    return close();
  Phase_ = Phase::Lingering;
  In_ = {};
  arm(LingerTime);
  read();
}

void HttpServerSession::close() {
  Phase_ = Phase::Closed;
  Owed_ = nullptr;
  disarm();
  error_code Ignored;
  Socket_.close(Ignored);
  Server_->remove(*this);
}

// The number tells a wait that has ended from one that was replaced.
void HttpServerSession::arm(Millis Wait) {
  Timer_.expires_after(toChrono(Wait));
  Timer_.async_wait(
      [Self = Pointer(this), Number = ++TimerNumber_](const error_code &Error) {
        if (!Error && Number == Self->TimerNumber_)
          Self->onTimer();
      });
}

void HttpServerSession::disarm() {
  ++TimerNumber_;
  Timer_.cancel();
}

void HttpServerSession::onTimer() {
  switch (Phase_) {
  case Phase::Receiving:
    return refuse(408, "the request did not arrive whole in time");
  case Phase::Sending:
    --Server_->Pending_;
    return close();
  case Phase::Streaming:
    return cutStream();
  case Phase::Idle:
  case Phase::Lingering:
    return close();
  case Phase::Working:
  case Phase::Closed:
    return;
  }
}

} // namespace coltsfoot
