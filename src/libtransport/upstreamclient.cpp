#include "upstreamclient.h"

#include "httpframing.h"
#include "timer.h"
#include "upstreamconnections.h"

#include "coltsfootpoint/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <poll.h>
#include <sstream>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr int MaxSkippedResponses = 16;
constexpr size_t MaxReadBytes = size_t{64} * 1024;

using RequestMessage = http::request<http::string_body>;
using ResponseParser = http::response_parser<http::string_body>;

beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

bool isValidField(const HttpField &Field) {
  return isHttpToken(Field.Name_) && isHttpFieldValue(Field.Value_) &&
         Field.Name_.size() + Field.Value_.size() <= MaxFieldLineBytes;
}

bool isValidRequest(const UpstreamRequest &Request) {
  return isHttpToken(Request.Method_) && isHttpTarget(Request.Target_) &&
         std::all_of(Request.Fields_.begin(), Request.Fields_.end(),
                     isValidField);
}

RequestMessage toMessage(UpstreamRequest &&Request) {
  RequestMessage Message;
  Message.method_string(toBeast(Request.Method_));
  Message.target(toBeast(Request.Target_));
  Message.version(11);
  for (const HttpField &Field : Request.Fields_)
    if (!isConnectionField(Field.Name_))
      Message.insert(toBeast(Field.Name_), toBeast(Field.Value_));
  Message.body() = std::move(Request.Body_);
  Message.prepare_payload();
  return Message;
}

Answer toAnswer(http::response<http::string_body> &&Message) {
  Answer Result;
  Result.Status_ = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Result.Fields_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Result.Body_ = std::move(Message.body());
  return Result;
}

/// Returns whether the response has a transfer coding other than `chunked`,
/// which this client can't decode.
bool hasUnsupportedCoding(const http::response<http::string_body> &Message) {
  auto Range = Message.equal_range(http::field::transfer_encoding);
  return std::any_of(Range.first, Range.second, [](const auto &Field) {
    return !beast::iequals(Field.value(), "chunked");
  });
}

Reason reasonOf(const error_code &Error) {
  return Error == http::error::body_limit || Error == http::error::header_limit
             ? Reason::TooLarge
             : Reason::UpstreamLost;
}

} // namespace

struct UpstreamClient::Shared
    : boost::intrusive_ref_counter<Shared, boost::thread_safe_counter> {
  class Exchange;

  Shared(asio::io_context &Context, Options Limits)
      : Context_(Context), Options_(Limits),
        Connections_(new UpstreamConnectionPool(Limits.Connections_,
                                                Limits.IdleTimeout_)) {}

  asio::io_context &Context_;
  const Options Options_;
  const boost::intrusive_ptr<UpstreamConnectionPool> Connections_;
  std::atomic<uint64_t> AnswersNotAttributed_ = 0;
  /// Indexed by ConnectFailure.
  std::array<std::atomic<uint64_t>, ConnectFailureKinds> ConnectFailures_{};
  /// UpstreamGrant::Generation_ of the target whose last attributable answer
  /// did not repeat the id of its request; 0 for none.
  std::atomic<uint64_t> SilentTarget_ = 0;
};

/// One call. start() and cancel() may be called on any thread; everything else
/// runs on the call's strand.
class UpstreamClient::Shared::Exchange : public UpstreamClient::Call {
public:
  using Pointer = boost::intrusive_ptr<Exchange>;

  Exchange(boost::intrusive_ptr<Shared> Client, Handler OnEnd)
      : Client_(std::move(Client)),
        Strand_(asio::make_strand(Client_->Context_)), Timer_(Strand_),
        Handler_(std::move(OnEnd)),
        Buffer_(Client_->Options_.MaxHeaderBytes_ + MaxReadBytes),
        Held_(Client_->Options_.Budget_) {}

  void start(UpstreamRequest Request, Millis TimeLimit) {
    asio::post(Strand_, [Self = Pointer(this), Request = std::move(Request),
                         TimeLimit]() mutable {
      Self->begin(std::move(Request), TimeLimit);
    });
  }

  void cancel() override {
    asio::post(Strand_,
               [Self = Pointer(this)] { Self->fail(Reason::Cancelled); });
  }

private:
  class Waiter;

  void begin(UpstreamRequest &&Request, Millis TimeLimit);
  void onGranted(UpstreamGrant Grant);
  void connect();
  bool isConnectDecided() const;
  void onConnectTimeLimit();
  void onConnected(const error_code &Error);
  void failConnect(const error_code &Error);
  void onTimeLimit();
  void endUnlessUnread();
  void write();
  void onWritten(const error_code &Error, size_t Size);
  void read();
  void parse();
  bool reserveMemory();
  void receive();
  void onReceived(const error_code &Error, size_t Size);
  void onEndOfStream();
  void onResponse(const error_code &Error);
  bool isOwnResponse() const;
  bool isIdleTimeout() const;
  bool echoesOtherRequest() const;
  bool echoesNoRequest() const;
  bool echoesOwnRequest() const;
  bool hasId() const;
  std::string_view id() const;
  bool canReuse(const UpstreamSocket &Candidate) const;
  void rememberEcho();
  std::string_view doubtfulCause() const;
  void noteNotAttributed(std::string_view Cause) const;
  void noteSurplusConnections(uint64_t Count) const;
  void fail(Reason Why);
  void finish(Verdict Outcome);
  template <typename Function> auto onStrand(Function Callback) {
    return asio::bind_executor(Strand_, std::move(Callback));
  }

  const boost::intrusive_ptr<Shared> Client_;
  const asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Timer_;
  Handler Handler_; // empty once called
  RequestMessage Request_;
  std::string LogId_;
  std::optional<ResponseParser> Parser_;
  /// Holds what the parser has not consumed: at most a head, the line of a
  /// chunk or the trailer, and what was read last.
  beast::flat_buffer Buffer_;
  ByteBudget::Reservation Held_;
  boost::intrusive_ptr<UpstreamWaiter> Waiter_;
  std::optional<UpstreamGrant> Grant_;
  std::unique_ptr<UpstreamSocket> Socket_;
  bool Reused_ = false;
  bool Connecting_ = false;
  bool Written_ = false;
  /// Once the time limit has passed: how many bytes of those that had arrived
  /// by then are still to be read.
  std::optional<size_t> UnreadAtLimit_;
  int SkippedResponses_ = 0;
};

/// Passes a grant to the strand of its call.
class UpstreamClient::Shared::Exchange::Waiter : public UpstreamWaiter {
public:
  explicit Waiter(Pointer Owner) : Owner_(std::move(Owner)) {}
  void onGranted(UpstreamGrant Grant) override {
    asio::post(Owner_->Strand_,
               [Owner = Owner_, Grant = std::move(Grant)]() mutable {
                 Owner->onGranted(std::move(Grant));
               });
  }

private:
  const Pointer Owner_;
};

void UpstreamClient::Shared::Exchange::begin(UpstreamRequest &&Request,
                                             Millis TimeLimit) {
  if (!Handler_)
    return;
  if (!isValidRequest(Request))
    return fail(Reason::BadRequest);
  if (TimeLimit <= Millis(0))
    return fail(Reason::DeadlinePassed);
  LogId_ = Request.LogId_;
  Request_ = toMessage(std::move(Request));
  Timer_.expires_after(toChrono(TimeLimit));
  Timer_.async_wait([Self = Pointer(this)](const error_code &Error) {
    if (!Error)
      Self->onTimeLimit();
  });
  Waiter_ = new Waiter(Pointer(this));
  if (auto Grant = Client_->Connections_->acquire(*Waiter_))
    onGranted(std::move(*Grant));
}

void UpstreamClient::Shared::Exchange::onGranted(UpstreamGrant Grant) {
  Waiter_ = nullptr;
  noteSurplusConnections(Grant.SurplusConnections_);
  // If the call ended while the grant was on its way to the strand, the grant
  // is returned unused.
  if (!Handler_)
    return Client_->Connections_->release(Grant, std::move(Grant.Reused_));
  if (Grant.Reused_ && canReuse(*Grant.Reused_))
    Socket_ = std::move(Grant.Reused_);
  Grant.Reused_.reset();
  Grant_ = std::move(Grant);
  if (Request_.find(http::field::host) == Request_.end()) {
    std::ostringstream Host;
    Host << Grant_->Target_;
    Request_.set(http::field::host, Host.str());
  }
  if (Client_->SilentTarget_ == Grant_->Generation_)
    Request_.keep_alive(false);
  Reused_ = Socket_ != nullptr;
  if (Reused_)
    write();
  else
    connect();
}

void UpstreamClient::Shared::Exchange::connect() {
  Reused_ = false;
  Socket_ = std::make_unique<UpstreamSocket>(Client_->Context_);
  auto ConnectTimer = std::make_shared<asio::steady_timer>(
      Strand_, toChrono(Client_->Options_.ConnectTimeout_));
  ConnectTimer->async_wait([Self = Pointer(this)](const error_code &Error) {
    if (!Error)
      Self->onConnectTimeLimit();
  });
  Connecting_ = true;
  Socket_->async_connect(
      Grant_->Target_,
      onStrand([Self = Pointer(this), ConnectTimer](const error_code &Error) {
        ConnectTimer->cancel();
        Self->onConnected(Error);
      }));
}

/// Returns whether the system has already made the connection or failed to, so
/// that onConnected() will follow.
bool UpstreamClient::Shared::Exchange::isConnectDecided() const {
  if (!Socket_->is_open())
    return true;
  pollfd Poll{Socket_->native_handle(), POLLOUT, 0};
  return ::poll(&Poll, 1, 0) > 0;
}

// The time limit is about the backend server: if this process was busy or
// suspended, the connection may have been made long before this is called.
void UpstreamClient::Shared::Exchange::onConnectTimeLimit() {
  if (Handler_ && Connecting_ && !isConnectDecided())
    failConnect(asio::error::timed_out);
}

void UpstreamClient::Shared::Exchange::onConnected(const error_code &Error) {
  Connecting_ = false;
  if (!Handler_)
    return;
  if (Error)
    return failConnect(Error);
  error_code Ignored;
  Socket_->set_option(tcp::no_delay(true), Ignored);
  write();
}

void UpstreamClient::Shared::Exchange::failConnect(const error_code &Error) {
  ConnectFailure Kind = connectFailureOf(Error);
  ++Client_->ConnectFailures_[static_cast<size_t>(Kind)];
  logRequest(LogCategory::Failure, "upstream_connect_failed",
             {{"request", LogId_},
              {"cause", connectFailureName(Kind)},
              {"error", Error.message()}});
  fail(Reason::NoUpstream);
}

// Bytes of the answer that arrived before the time limit may be unread, because
// this process was busy or suspended. Some may be in a finished read whose
// handler is queued on the io_context, hence the post behind it.
void UpstreamClient::Shared::Exchange::onTimeLimit() {
  asio::post(Client_->Context_,
             onStrand([Self = Pointer(this)] { Self->endUnlessUnread(); }));
}

/// Ends the call, or lets it go on until the bytes that have arrived by now are
/// read. Bytes that arrive later don't prolong it.
void UpstreamClient::Shared::Exchange::endUnlessUnread() {
  if (!Handler_)
    return;
  error_code Error;
  UnreadAtLimit_ = Parser_ ? Socket_->available(Error) : 0;
  if (Error || UnreadAtLimit_ == size_t{0})
    fail(Reason::DeadlinePassed);
}

void UpstreamClient::Shared::Exchange::write() {
  // From now on the backend server may receive bytes of the request.
  Written_ = true;
  Socket_->addRequest(id());
  http::async_write(
      *Socket_, Request_,
      onStrand([Self = Pointer(this)](const error_code &Error, size_t Size) {
        Self->onWritten(Error, Size);
      }));
}

void UpstreamClient::Shared::Exchange::onWritten(const error_code &Error,
                                                 size_t Size) {
  if (!Handler_)
    return;
  if (!Error)
    return read();
  Written_ = Size > 0;
  if (Written_ || !Reused_)
    return fail(Reason::UpstreamLost);
  error_code Ignored;
  Socket_->close(Ignored);
  connect();
}

void UpstreamClient::Shared::Exchange::read() {
  Parser_.emplace();
  Parser_->header_limit(
      static_cast<uint32_t>(Client_->Options_.MaxHeaderBytes_));
  Parser_->body_limit(Client_->Options_.MaxResponseBytes_);
  if (Request_.method() == http::verb::head)
    Parser_->skip(true);
  Parser_->eager(true);
  parse();
}

void UpstreamClient::Shared::Exchange::parse() {
  error_code Error;
  size_t Used = 1;
  while (Buffer_.size() > 0 && Used > 0 && !Error && !Parser_->is_done()) {
    Used = Parser_->put(Buffer_.data(), Error);
    Buffer_.consume(Used);
  }
  if (Error && Error != http::error::need_more)
    return onResponse(Error);
  if (Parser_->is_done())
    return onResponse({});
  if (!reserveMemory())
    return fail(Reason::TooLarge);
  receive();
}

bool UpstreamClient::Shared::Exchange::reserveMemory() {
  return Held_.resize(Buffer_.capacity() + Parser_->get().body().capacity());
}

// The parser consumes no unfinished line of a chunk and no unfinished trailer,
// and does not limit them; the size of the buffer does.
void UpstreamClient::Shared::Exchange::receive() {
  if (UnreadAtLimit_ == size_t{0})
    return fail(Reason::DeadlinePassed);
  size_t Room = beast::read_size(Buffer_, MaxReadBytes);
  if (Room == 0)
    return fail(Reason::TooLarge);
  Socket_->async_read_some(
      Buffer_.prepare(Room),
      onStrand([Self = Pointer(this)](const error_code &Error, size_t Size) {
        Self->onReceived(Error, Size);
      }));
}

void UpstreamClient::Shared::Exchange::onReceived(const error_code &Error,
                                                  size_t Size) {
  if (!Handler_)
    return;
  Buffer_.commit(Size);
  if (UnreadAtLimit_)
    *UnreadAtLimit_ -= std::min(*UnreadAtLimit_, Size);
  if (Error == asio::error::eof)
    return onEndOfStream();
  if (Error)
    return onResponse(Error);
  parse();
}

void UpstreamClient::Shared::Exchange::onEndOfStream() {
  error_code Error = http::error::end_of_stream;
  if (Parser_->got_some())
    Parser_->put_eof(Error);
  onResponse(Error);
}

void UpstreamClient::Shared::Exchange::onResponse(const error_code &Error) {
  if (!Handler_)
    return;
  if (Error)
    return fail(reasonOf(Error));
  int Status = static_cast<int>(Parser_->get().result_int());
  // What follows such a status belongs to no request either.
  if (!isHttpStatus(Status)) {
    noteNotAttributed("odd-status");
    return fail(Reason::UpstreamLost);
  }
  constexpr int SwitchingProtocols = 101;
  if (!isFinalHttpStatus(Status) && Status != SwitchingProtocols &&
      ++SkippedResponses_ <= MaxSkippedResponses)
    return read();
  // Without a length or chunks, only the end of the connection marks the end of
  // the body.
  if (std::string_view Cause = doubtfulCause(); !Cause.empty())
    noteNotAttributed(Cause);
  bool RefusedCloseDelimited = !Client_->Options_.AllowCloseDelimited_ &&
                               Parser_->need_eof() &&
                               Request_.method() != http::verb::head;
  // On a reused connection a late response to an earlier request can precede
  // the response to this one; it is skipped.
  if (echoesOtherRequest() && Reused_ &&
      ++SkippedResponses_ <= MaxSkippedResponses)
    return read();
  if (!isFinalHttpStatus(Status) || RefusedCloseDelimited ||
      hasUnsupportedCoding(Parser_->get()) || !isOwnResponse())
    return fail(Reason::UpstreamLost);
  rememberEcho();
  bool KeptOpen = Request_.keep_alive() && Parser_->get().keep_alive() &&
                  Socket_->hasRoom();
  if (KeptOpen && echoesOwnRequest() && Buffer_.size() == 0)
    Client_->Connections_->release(*Grant_, std::move(Socket_));
  else
    Client_->Connections_->release(*Grant_);
  Grant_.reset();
  finish(Ran{toAnswer(Parser_->release())});
}

// HTTP/1.1 responses have no number. On a reused connection, the backend server
// may have sent a response just before this request was written or may send one
// to an earlier request: a 408 because the idle time has expired, or a surplus
// response. So only a response that repeats the request's id counts there. On a
// new connection this request is the only one.
bool UpstreamClient::Shared::Exchange::isOwnResponse() const {
  if (Reused_)
    return !isIdleTimeout() && echoesOwnRequest();
  return !echoesOtherRequest();
}

bool UpstreamClient::Shared::Exchange::isIdleTimeout() const {
  return Reused_ && Parser_->get().result() == http::status::request_timeout;
}

bool UpstreamClient::Shared::Exchange::echoesOtherRequest() const {
  const std::string &Echo = Client_->Options_.EchoField_;
  const auto &Message = Parser_->get();
  auto Returned = Message.find(Echo);
  return Returned != Message.end() && Returned->value() != Request_[Echo];
}

bool UpstreamClient::Shared::Exchange::echoesNoRequest() const {
  return Parser_->get().count(Client_->Options_.EchoField_) == 0;
}

bool UpstreamClient::Shared::Exchange::echoesOwnRequest() const {
  return hasId() && !echoesNoRequest() && !echoesOtherRequest();
}

bool UpstreamClient::Shared::Exchange::hasId() const { return !id().empty(); }

std::string_view UpstreamClient::Shared::Exchange::id() const {
  beast::string_view Id = Request_[Client_->Options_.EchoField_];
  return {Id.data(), Id.size()};
}

// Without an id, or with that of an earlier request on the connection, an
// answer there could belong to another request.
bool UpstreamClient::Shared::Exchange::canReuse(
    const UpstreamSocket &Candidate) const {
  return hasId() && !Candidate.hasCarried(id());
}

// A backend server that does not repeat the id gets one request a connection.
// It is told so in advance, as it may limit its open connections.
void UpstreamClient::Shared::Exchange::rememberEcho() {
  if (hasId())
    Client_->SilentTarget_ = echoesOwnRequest() ? 0 : Grant_->Generation_;
}

/// Returns the cause of the log line about the answer that was just read, or
/// nothing if the answer certainly belongs to this request.
std::string_view UpstreamClient::Shared::Exchange::doubtfulCause() const {
  if (echoesOtherRequest())
    return "other-id";
  if (isIdleTimeout())
    return "idle-timeout";
  if (Reused_ && echoesNoRequest())
    return "no-id";
  return Buffer_.size() > 0 ? "surplus-bytes" : "";
}

void UpstreamClient::Shared::Exchange::noteNotAttributed(
    std::string_view Cause) const {
  ++Client_->AnswersNotAttributed_;
  logRequest(LogCategory::Failure, "answer_not_attributed",
             {{"request", LogId_},
              {"status", static_cast<int>(Parser_->get().result_int())},
              {"cause", Cause}});
}

/// Reports idle connections that were closed because bytes had arrived on them.
void UpstreamClient::Shared::Exchange::noteSurplusConnections(
    uint64_t Count) const {
  if (Count == 0)
    return;
  Client_->AnswersNotAttributed_ += Count;
  logRequest(LogCategory::Failure, "answer_not_attributed",
             {{"cause", "idle-bytes"}, {"connections", Count}});
}

void UpstreamClient::Shared::Exchange::fail(Reason Why) {
  if (!Handler_)
    return;
  if (Written_)
    finish(MayHaveRun{Why});
  else
    finish(NotRun{Why});
}

// Closes the connection before the grant is released, so that the next call
// does not exceed the connection limit. The buffer stays, as a read into it may
// still be pending.
void UpstreamClient::Shared::Exchange::finish(Verdict Outcome) {
  Handler Callback = std::exchange(Handler_, nullptr);
  Timer_.cancel();
  if (Waiter_)
    Client_->Connections_->withdraw(*Waiter_);
  Waiter_ = nullptr;
  error_code Ignored;
  if (Socket_)
    Socket_->close(Ignored);
  if (Grant_)
    Client_->Connections_->release(*Grant_);
  Grant_.reset();
  Parser_.reset();
  Held_.resize(0);
  Callback(std::move(Outcome));
}

UpstreamClient::UpstreamClient(asio::io_context &Context, Options Limits)
    : Shared_(new Shared(Context, Limits)) {}

UpstreamClient::~UpstreamClient() { Shared_->Connections_->close(); }

void UpstreamClient::setTarget(const tcp::endpoint &Address,
                               size_t Connections) {
  Shared_->Connections_->setTarget(Address, Connections);
}

UpstreamClient::CallPointer
UpstreamClient::call(UpstreamRequest Request, Millis TimeLimit, Handler OnEnd) {
  boost::intrusive_ptr<Shared::Exchange> Call(
      new Shared::Exchange(Shared_, std::move(OnEnd)));
  Call->start(std::move(Request), TimeLimit);
  return Call;
}

uint64_t UpstreamClient::answersNotAttributed() const {
  return Shared_->AnswersNotAttributed_;
}

ConnectFailureCounts UpstreamClient::connectFailures() const {
  ConnectFailureCounts Counts;
  std::copy(Shared_->ConnectFailures_.begin(), Shared_->ConnectFailures_.end(),
            Counts.begin());
  return Counts;
}

} // namespace coltsfoot
