#include "httpserversession.h"

#include "httpframing.h"
#include "inputstate.h"
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
constexpr size_t MaxChunkHeaderBytes = size_t{4} * 1024;
constexpr size_t MaxLingerBytes = size_t{8} * 1024 * 1024;
constexpr Millis LingerTimeout{1000};
/// How long a new connection is not closed in favour of another, as its first
/// request is likely to be on the way.
constexpr Millis FirstRequestTime{200};
/// Smaller responses do not count against Options::AnswerBudget_, so that slow
/// readers of large ones do not keep them from other callers.
constexpr size_t UncountedResponseBytes = size_t{64} * 1024;
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

boost::beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Returns the status and the error text with which a request is refused after
/// a parser error.
std::pair<int, std::string> refusalOf(const error_code &Error) {
  if (Error == http::error::header_limit)
    return {431, "request head exceeds the size limit"};
  if (Error == http::error::body_limit)
    return {413, "request body exceeds the size limit"};
  if (Error == http::error::bad_version)
    return {505, "HTTP version is neither 1.0 nor 1.1"};
  return {400, "malformed request: " + Error.message()};
}

std::string_view reasonOfStatus(int Status) {
  if (Status == 503)
    return "overload";
  return Status == 413 || Status == 431 ? "too-large" : "bad-request";
}

/// Returns the response in place of one that Options::AnswerBudget_ has no room
/// for.
Answer answerNotKept() {
  return {502,
          {{"Content-Type", "application/json"},
           {"Coltsfoot-Verdict", "may-have-run"}},
          "{\"verdict\":\"may-have-run\",\"reason\":\"answer-not-kept\"}\n"};
}

bool hasNoBody(int Status) { return Status == 204 || Status == 304; }

/// Returns the Content-Length for the response to a HEAD request, or an empty
/// string if it is unknown.
std::string headContentLength(const Answer &Reply) {
  if (!Reply.Body_.empty())
    return std::to_string(Reply.Body_.size());
  for (const HttpField &Field : Reply.Fields_)
    if (equalIgnoringCase(Field.Name_, "Content-Length") &&
        Field.Value_.find_first_not_of("0123456789") == std::string::npos)
      return Field.Value_;
  return {};
}

using Response = http::response<http::string_body>;

// Leaves out fields that the server sets itself, fields that could split the
// response into two (response splitting) and fields that exceed the size limit.
void copyFields(const Answer &Reply, Response &Out) {
  for (const HttpField &Field : Reply.Fields_)
    if (!isConnectionField(Field.Name_) && isHttpToken(Field.Name_) &&
        isHttpFieldValue(Field.Value_) &&
        Field.Name_.size() + Field.Value_.size() <= MaxFieldLineBytes)
      Out.insert(toBeast(Field.Name_), toBeast(Field.Value_));
}

Response toResponse(const Answer &Reply, bool ToHeadRequest) {
  Response Out;
  // An interim (1xx) or invalid status can't end an exchange, so it is replaced
  // by 502.
  bool IsFinal = isFinalHttpStatus(Reply.Status_);
  Out.result(static_cast<unsigned>(IsFinal ? Reply.Status_ : 502));
  copyFields(Reply, Out);
  if (hasNoBody(Reply.Status_))
    return Out;
  if (!ToHeadRequest) {
    Out.body() = Reply.Body_;
    Out.content_length(Reply.Body_.size());
    return Out;
  }
  std::string Length = headContentLength(Reply);
  if (!Length.empty())
    Out.set(http::field::content_length, toBeast(Length));
  return Out;
}

} // namespace

/// The request that is being received or handled, and its response.
struct HttpServerSession::Message {
  http::request_parser<http::string_body> Parser_;
  HttpRequest Request_;
  bool HeadParsed_ = false;
  bool KeepAlive_ = false;
  bool ToHeadRequest_ = false;
  Response Response_;
};

/// The response that is still to be sent for a request. The session and the
/// exchange share it. It keeps the session alive until the exchange has
/// responded or ended its stream, the exchange is destroyed or the caller
/// disconnects. Thread-safe.
class HttpServerSession::PendingResponse
    : public boost::intrusive_ref_counter<PendingResponse,
                                          boost::thread_safe_counter> {
public:
  explicit PendingResponse(Pointer Owner) : Session_(std::move(Owner)) {}

  /// Takes the right to respond. Returns the session, or null if the right was
  /// taken before or the caller has disconnected.
  Pointer claim() {
    std::function<void()> FormerHandler;
    std::lock_guard<std::mutex> Lock(Mutex_);
    Pointer Owner = std::exchange(Session_, nullptr);
    if (Owner)
      std::swap(FormerHandler, OnAbandoned_);
    return Owner;
  }

  /// Takes the right to respond with a stream. Returns as claim() does.
  Pointer claimStream() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Streaming_ = std::exchange(Session_, nullptr);
    return Streaming_;
  }

  /// Returns the session if the stream is open, else null. Marks the stream as
  /// ended if Last is set.
  Pointer stream(bool Last) {
    std::function<void()> FormerHandler;
    std::lock_guard<std::mutex> Lock(Mutex_);
    Pointer Owner = Streaming_;
    if (Last) {
      Streaming_ = nullptr;
      std::swap(FormerHandler, OnAbandoned_);
    }
    return Owner;
  }

  /// Takes back the right to respond or ends the stream, because the caller has
  /// disconnected or the server ends the stream, and calls the handler. Returns
  /// false if neither a response nor a stream was open.
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
        // Swapped, so that the previous handler is destroyed after the unlock.
        if (Session_ || Streaming_ || !Handler)
          std::swap(OnAbandoned_, Handler);
        return;
      }
    }
    if (Handler)
      Handler();
  }

private:
  std::mutex Mutex_; // guards all members below
  Pointer Session_;
  Pointer Streaming_;
  std::function<void()> OnAbandoned_;
  bool Abandoned_ = false;
};

/// The HttpExchange that the session passes to the request handler.
class HttpServerSession::Exchange : public HttpExchange {
public:
  Exchange(boost::intrusive_ptr<PendingResponse> Pending, HttpRequest Request)
      : PendingResponse_(std::move(Pending)), Request_(std::move(Request)) {}

  ~Exchange() override {
    // If the handler dropped the request without a response, the caller must
    // not wait for one.
    if (auto Owner = PendingResponse_->claim())
      asio::post(Owner->executor(), [Owner] {
        Owner->sendResponse(Answer{
            500, {}, "internal error: the request handler sent no response\n"});
      });
    Exchange::finishStream();
  }

  const HttpRequest &request() const override { return Request_; }

  void respond(Answer Reply) override {
    auto Owner = PendingResponse_->claim();
    if (!Owner)
      return;
    asio::dispatch(Owner->executor(), [Owner, Reply = std::move(Reply)] {
      Owner->sendResponse(Reply);
    });
  }

  void startStream(std::string_view ContentType) override {
    auto Owner = PendingResponse_->claimStream();
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
    PendingResponse_->setHandler(std::move(Handler));
  }

private:
  bool stream(std::string Piece, bool Last) {
    auto Owner = PendingResponse_->stream(Last);
    if (!Owner)
      return false;
    // Posted instead of dispatched, so that write() can be called with a lock
    // held that the onAbandoned() handler takes.
    asio::post(Owner->executor(),
               [Owner, Piece = std::move(Piece), Last]() mutable {
                 Owner->writeStream(std::move(Piece), Last);
               });
    return true;
  }

  const boost::intrusive_ptr<PendingResponse> PendingResponse_;
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
    if (!static_cast<boost::intrusive::list_base_hook<> &>(Session).is_linked())
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

void HttpServerState::addIdle(HttpServerSession &Session) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (static_cast<IdleHook &>(Session).is_linked())
    return;
  Session.setIdleSince(Clock_.now());
  Idle_.push_back(Session);
}

void HttpServerState::removeIdle(HttpServerSession &Session) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (static_cast<IdleHook &>(Session).is_linked())
    Idle_.erase(Idle_.iterator_to(Session));
}

bool HttpServerState::closeLongestIdle(Millis MinIdle) {
  HttpServerSession::Pointer Longest;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Millis Now = Clock_.now();
    // The list is in the order of age, so that the search is short.
    for (HttpServerSession &Each : Idle_) {
      Millis Age = Now - Each.idleSince();
      if (Age < MinIdle)
        break;
      if (!Each.servedBefore() && Age < FirstRequestTime)
        continue;
      Longest = &Each;
      break;
    }
    if (!Longest)
      return false;
    Idle_.erase(Idle_.iterator_to(*Longest));
  }
  Longest->closeIfIdle();
  return true;
}

HttpServerSession::HttpServerSession(
    tcp::socket Socket, boost::intrusive_ptr<HttpServerState> Server)
    : Socket_(std::move(Socket)), Timer_(Socket_.get_executor()),
      Server_(std::move(Server)), Received_(Server_->Options_.Budget_),
      Sent_(Server_->Options_.AnswerBudget_) {
  error_code Ignored;
  RemoteAddress_ = Socket_.remote_endpoint(Ignored).address().to_string();
  Socket_.set_option(tcp::no_delay(true), Ignored);
  ++Server_->Callers_;
}

HttpServerSession::~HttpServerSession() {
  Server_->removeIdle(*this);
  --Server_->Callers_;
}

void HttpServerSession::start() {
  Server_->add(*this);
  asio::dispatch(executor(), [Self = Pointer(this)] { Self->awaitRequest(); });
}

// An open stream must not delay the stop; its reader can resume the stream at
// another node.
void HttpServerSession::stop() {
  asio::post(executor(), [Self = Pointer(this)] {
    if (Self->Phase_ != Phase::Streaming)
      return;
    Self->PendingResponse_->abandon();
    Self->StreamEnds_ = true;
    Self->writeNextPiece();
  });
}

void HttpServerSession::closeIfIdle() {
  asio::post(executor(), [Self = Pointer(this)] {
    bool Unused =
        Self->Phase_ == Phase::Idle || Self->Phase_ == Phase::Lingering;
    if (Unused)
      Self->closeUnlessRead(true);
  });
}

// The bytes of a request may have been read already, with the handler of the
// read still queued. The socket can't tell this, but the handler can: a cancel
// has no effect on that read then, and the handler gets the bytes.
void HttpServerSession::closeUnlessRead(bool MakesRoom) {
  CloseRequested_ = true;
  ClosesForRoom_ = MakesRoom;
  error_code Ignored;
  Socket_.cancel(Ignored);
}

// What has arrived meanwhile is read: a request, or input without whose reading
// the connection would be reset.
void HttpServerSession::onReadCancelled() {
  if (inputState(Socket_) == InputState::Bytes)
    return read();
  if (ClosesForRoom_)
    ++Server_->IdleClosed_;
  close();
}

// The idle time-out applies until the first byte of a request arrives. From
// then on the complete request must arrive within the receive time-out.
void HttpServerSession::awaitRequest() {
  Message_ = std::make_unique<Message>();
  PendingResponse_ = nullptr;
  Message_->Parser_.header_limit(
      static_cast<uint32_t>(Server_->Options_.HeaderBytes_));
  Message_->Parser_.body_limit(Server_->Options_.BodyBytes_);
  Phase_ = Input_.empty() ? Phase::Idle : Phase::Receiving;
  if (Phase_ == Phase::Receiving) {
    startTimer(Server_->Options_.ReceiveTimeout_);
    return parse();
  }
  Input_.shrink_to_fit();
  Received_.resize(0);
  startTimer(Server_->Options_.IdleTimeout_);
  Server_->addIdle(*this);
  read();
}

void HttpServerSession::read() {
  if (Reading_ || InputEnded_ || Phase_ == Phase::Closed)
    return;
  Reading_ = true;
  Socket_.async_read_some(
      asio::buffer(ReadBuffer_),
      [Self = Pointer(this)](const error_code &Error, size_t Size) {
        Self->Reading_ = false;
        bool CloseRequested = std::exchange(Self->CloseRequested_, false);
        if (Self->Phase_ == Phase::Closed)
          return;
        if (CloseRequested && Error == asio::error::operation_aborted)
          Self->onReadCancelled();
        else if (Error)
          Self->onInputEnd();
        else
          Self->onRead(Size);
      });
}

void HttpServerSession::onRead(size_t Size) {
  if (Phase_ == Phase::Lingering) {
    LingeredBytes_ += Size;
    return LingeredBytes_ > MaxLingerBytes ? close() : read();
  }
  Input_.append(ReadBuffer_.data(), Size);
  if (Phase_ == Phase::Idle) {
    Phase_ = Phase::Receiving;
    Server_->removeIdle(*this);
    startTimer(Server_->Options_.ReceiveTimeout_);
  }
  if (Phase_ == Phase::Receiving)
    return parse();
  if (Input_.size() < MaxPipelinedBytes && reserveReceived())
    read();
}

// The end of the input is treated as a disconnection: a closed and a
// half-closed connection can't be distinguished until writing the response
// fails.
void HttpServerSession::onInputEnd() {
  InputEnded_ = true;
  if (Phase_ == Phase::Sending)
    return;
  if (Phase_ == Phase::Streaming)
    return abortStream();
  if (Phase_ != Phase::Working)
    return close();
  // If the handler has responded already, sendResponse() or startStream() is
  // queued on the strand and closes the connection in the end.
  boost::intrusive_ptr<PendingResponse> Current = PendingResponse_;
  if (!Current->abandon())
    return;
  --Server_->Pending_;
  close();
}

void HttpServerSession::parse() {
  if (!reserveReceived()) {
    logEvent(LogLevel::Warning, "receive_refused",
             {{"cause", "receive-limit"},
              {"limit_bytes",
               static_cast<int64_t>(Server_->Options_.Budget_->limitBytes())}});
    return refuse(503, "the received requests exceed the memory limit");
  }
  if (!Message_->HeadParsed_ && !parseHead())
    return;
  parseBody();
}

bool HttpServerSession::reserveReceived() {
  return Received_.resize(Input_.size() +
                          Message_->Parser_.get().body().size());
}

// Swapped, because assigning an empty string frees no memory.
void HttpServerSession::releaseReceived() {
  std::string().swap(Input_);
  if (Message_)
    std::string().swap(Message_->Parser_.get().body());
  Received_.resize(0);
}

// Checks the unparsed head, because Beast joins folded lines and accepts
// several Content-Length fields with equal values. The fields are copied before
// the body is parsed, because Beast adds the fields of a trailer to them.
bool HttpServerSession::parseHead() {
  size_t End = Input_.find(HeadEnd);
  size_t Size = End == std::string::npos ? Input_.size() : End + HeadEnd.size();
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
  Parser.put(asio::buffer(Input_.data(), Size), Error);
  std::string_view Fault =
      requestHeadError(std::string_view(Input_).substr(0, Size));
  Input_.erase(0, Size);
  bool HeaderDone = Parser.is_header_done();
  if (Error == http::error::need_more)
    Error = {};
  if (!Fault.empty()) {
    refuse(400, Fault);
    return false;
  }
  if (Error || !HeaderDone) {
    auto [Status, Detail] = refusalOf(Error);
    refuse(Status, Detail);
    return false;
  }
  copyHead();
  // A caller that expects it sends the body only after it has received status
  // 100.
  bool ContinueExpected =
      equalIgnoringCase(Message_->Request_.field("Expect"), "100-continue");
  if (ContinueExpected && !Parser.is_done() && Input_.empty())
    Socket_.async_write_some(
        asio::buffer(ContinueResponse),
        [Self = Pointer(this)](const error_code &, size_t) {});
  return true;
}

void HttpServerSession::copyHead() {
  auto &Parser = Message_->Parser_;
  HttpRequest &Request = Message_->Request_;
  const auto &Head = Parser.get();
  Request.Method_ = std::string(Head.method_string());
  Request.Target_ = std::string(Head.target());
  for (const auto &Field : Head)
    Request.Fields_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.RemoteAddress_ = RemoteAddress_;
  Message_->KeepAlive_ = Parser.keep_alive();
  Message_->ToHeadRequest_ = Head.method() == http::verb::head;
  Message_->HeadParsed_ = true;
  Parser.eager(true);
}

void HttpServerSession::parseBody() {
  auto &Parser = Message_->Parser_;
  while (!Parser.is_done()) {
    if (Input_.empty())
      return read();
    error_code Error;
    size_t Consumed = Parser.put(asio::buffer(Input_), Error);
    Input_.erase(0, Consumed);
    if (Error && Error != http::error::need_more) {
      auto [Status, Detail] = refusalOf(Error);
      return refuse(Status, Detail);
    }
    if (Consumed > 0 || Parser.is_done())
      continue;
    if (Input_.size() > MaxChunkHeaderBytes)
      return refuse(400, "chunk header exceeds the size limit");
    return read();
  }
  dispatchRequest();
}

// A request that lay unread may be one that its caller has given up. Its work
// would be done in vain, and the caller's departure would be noticed only after
// the request has been passed on. How long a connection waited to be accepted
// is unknown, so its first request is checked.
bool HttpServerSession::callerHasLeft() {
  bool FirstRequest = !std::exchange(ServedBefore_, true);
  return FirstRequest && inputState(Socket_) == InputState::Ended;
}

void HttpServerSession::dispatchRequest() {
  cancelTimer();
  if (callerHasLeft()) {
    ++Server_->CallersLeft_;
    return close();
  }
  Phase_ = Phase::Working;
  ++Server_->Pending_;
  HttpRequest Request = std::move(Message_->Request_);
  Request.Body_ = std::exchange(Message_->Parser_.get().body(), {});
  Received_.resize(Input_.size());
  PendingResponse_ = new PendingResponse(Pointer(this));
  HttpExchange::Pointer Current(
      new Exchange(PendingResponse_, std::move(Request)));
  read();
  try {
    Server_->Handler_(std::move(Current));
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Error, "request_handler_failed",
             {{"error", Error.what()}});
  }
}

void HttpServerSession::refuse(int Status, std::string_view Detail) {
  Message_->KeepAlive_ = false;
  releaseReceived();
  ++Server_->Pending_;
  Phase_ = Phase::Working;
  std::string Body = R"({"verdict":"not-run","reason":")";
  Body += reasonOfStatus(Status);
  Body += R"(","detail":")";
  Body += Detail;
  Body += "\"}\n";
  sendResponse(Answer{
      Status,
      {{"Content-Type", "application/json"}, {"Coltsfoot-Verdict", "not-run"}},
      std::move(Body)});
}

void HttpServerSession::sendResponse(const Answer &Reply) {
  if (Phase_ != Phase::Working)
    return;
  Phase_ = Phase::Sending;
  bool Kept = Reply.Body_.size() <= UncountedResponseBytes ||
              Sent_.resize(Reply.Body_.size());
  Message_->Response_ =
      toResponse(Kept ? Reply : answerNotKept(), Message_->ToHeadRequest_);
  Message_->Response_.keep_alive(keepsOpen());
  startTimer(Server_->Options_.IdleTimeout_);
  http::async_write(Socket_, Message_->Response_,
                    [Self = Pointer(this)](const error_code &Error, size_t) {
                      if (Self->Phase_ != Phase::Sending)
                        return;
                      if (Error) {
                        --Self->Server_->Pending_;
                        return Self->close();
                      }
                      Self->finishResponse(
                          Self->Message_->Response_.keep_alive());
                    });
}

// Bytes of a further request that have been read belong to a caller who can't
// tell that they were; that request is served before the connection closes.
bool HttpServerSession::keepsOpen() const {
  bool Closes =
      Server_->Stopped_ || Server_->KeepAliveDisabled_ || Server_->crowded();
  return Message_->KeepAlive_ && (!Closes || !Input_.empty());
}

void HttpServerSession::finishResponse(bool KeepAlive) {
  Message_->Response_ = Response();
  Sent_.resize(0);
  --Server_->Pending_;
  if (KeepAlive && !InputEnded_)
    awaitRequest();
  else
    linger();
}

// The end of the connection marks the end of the stream, so the body needs
// neither a length nor chunks.
void HttpServerSession::startStream(const std::string &ContentType) {
  if (Phase_ != Phase::Working)
    return;
  Phase_ = Phase::Streaming;
  std::string Type =
      isHttpFieldValue(ContentType) ? ContentType : "application/octet-stream";
  StreamBacklog_.push_back("HTTP/1.1 200 OK\r\nContent-Type: " + Type +
                           "\r\nConnection: close\r\n\r\n");
  StreamBacklogBytes_ += StreamBacklog_.back().size();
  if (Message_->ToHeadRequest_ || Server_->Stopped_) {
    PendingResponse_->abandon();
    StreamEnds_ = true;
  }
  writeNextPiece();
}

void HttpServerSession::writeStream(std::string Piece, bool Last) {
  if (Phase_ != Phase::Streaming || StreamEnds_)
    return;
  StreamEnds_ = Last;
  StreamBacklogBytes_ += Piece.size();
  if (!Piece.empty())
    StreamBacklog_.push_back(std::move(Piece));
  // A reader that is too slow is disconnected to bound the memory used. It can
  // reconnect and resume the stream after what it has received.
  if (StreamBacklogBytes_ > MaxStreamBacklogBytes)
    return abortStream();
  writeNextPiece();
}

void HttpServerSession::writeNextPiece() {
  if (StreamWriting_)
    return;
  if (StreamBacklog_.empty()) {
    cancelTimer();
    if (StreamEnds_)
      finishResponse(false);
    return;
  }
  StreamWriting_ = true;
  startTimer(Server_->Options_.IdleTimeout_);
  asio::async_write(Socket_, asio::buffer(StreamBacklog_.front()),
                    [Self = Pointer(this)](const error_code &Error, size_t) {
                      Self->StreamWriting_ = false;
                      Self->StreamBacklogBytes_ -=
                          Self->StreamBacklog_.front().size();
                      Self->StreamBacklog_.pop_front();
                      if (Self->Phase_ != Phase::Streaming)
                        return;
                      if (Error)
                        Self->abortStream();
                      else
                        Self->writeNextPiece();
                    });
}

void HttpServerSession::abortStream() {
  --Server_->Pending_;
  boost::intrusive_ptr<PendingResponse> Current = PendingResponse_;
  close();
  Current->abandon();
}

// Closing a socket with unread input resets the connection, and the reset could
// make the caller discard the response. Therefore input is read and discarded,
// for a limited time and up to a limited size, before the socket is closed.
void HttpServerSession::linger() {
  error_code Ignored;
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  if (InputEnded_)
    return close();
  Phase_ = Phase::Lingering;
  releaseReceived();
  startTimer(LingerTimeout);
  Server_->addIdle(*this);
  read();
}

void HttpServerSession::close() {
  Phase_ = Phase::Closed;
  Server_->removeIdle(*this);
  PendingResponse_ = nullptr;
  cancelTimer();
  error_code Ignored;
  Socket_.close(Ignored);
  releaseReceived();
  Sent_.resize(0);
  Server_->remove(*this);
}

// The handler of a wait that has expired may already be queued when the timer
// is restarted or cancelled. The generation identifies such outdated handlers.
void HttpServerSession::startTimer(Millis Wait) {
  Timer_.expires_after(toChrono(Wait));
  Timer_.async_wait([Self = Pointer(this),
                     Generation = ++TimerGeneration_](const error_code &Error) {
    if (!Error && Generation == Self->TimerGeneration_)
      Self->onTimer();
  });
}

void HttpServerSession::cancelTimer() {
  ++TimerGeneration_;
  Timer_.cancel();
}

void HttpServerSession::onTimer() {
  switch (Phase_) {
  case Phase::Receiving:
    return refuse(408,
                  "request was not received completely within the time limit");
  case Phase::Sending:
    --Server_->Pending_;
    return close();
  case Phase::Streaming:
    return abortStream();
  case Phase::Idle:
    return closeUnlessRead(false);
  case Phase::Lingering:
    return close();
  case Phase::Working:
  case Phase::Closed:
    return;
  }
}

} // namespace coltsfoot
