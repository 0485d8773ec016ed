#include "frameconnection.h"

#include "codec.h"
#include "coltsfoot_types.h"
#include "timer.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstring>
#include <poll.h>
#include <utility>

namespace coltsfoot {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// The read size grows with the traffic, so that idle connections use little
// memory.
constexpr size_t MinReadBytes = size_t{4} * 1024;
constexpr size_t MaxReadBytes = size_t{256} * 1024;
constexpr size_t MaxWriteBytes = size_t{64} * 1024;
constexpr size_t MaxHelloBytes = size_t{4} * 1024;
constexpr size_t MaxRetainedBufferBytes = size_t{64} * 1024;
constexpr Millis MinCheckDelay{1};
constexpr size_t LengthBytes = 4;
/// Frames up to this size may use SmallFramesRoom: replies without an answer,
/// cancels and heartbeats.
constexpr size_t SmallFrameBytes = 4096;
constexpr size_t SmallFramesRoom = size_t{1024} * 1024;
/// No settings allow a frame of this size, so such a length is text or the
/// like.
constexpr size_t ImplausibleFrameBytes = size_t{1024} * 1024 * 1024;

uint32_t readLength(const char *Bytes) {
  uint32_t Length = 0;
  for (size_t I = 0; I < LengthBytes; ++I)
    Length = (Length << 8U) | static_cast<unsigned char>(Bytes[I]);
  return Length;
}

} // namespace

struct FrameConnection::LocalHello {
  wire::Hello Message_;
};

std::string_view closeCauseName(CloseCause Cause) {
  switch (Cause) {
  case CloseCause::Local:
    return "local";
  case CloseCause::Refused:
    return "refused";
  case CloseCause::Unanswered:
    return "unanswered";
  case CloseCause::Lost:
    return "lost";
  case CloseCause::Silent:
    return "silent";
  case CloseCause::Garbage:
    return "garbage";
  case CloseCause::Handshake:
    return "handshake";
  case CloseCause::Overflow:
    return "overflow";
  case CloseCause::TooLarge:
    return "too-large";
  case CloseCause::ReceiveLimit:
    return "receive-limit";
  }
  return "unknown";
}

FrameConnection::Pointer FrameConnection::create(Socket Peer, Options Limits,
                                                 wire::Hello Self,
                                                 Handlers Callbacks) {
  return {new FrameConnection(std::move(Peer), Limits, std::move(Self),
                              std::move(Callbacks))};
}

FrameConnection::FrameConnection(Socket Peer, Options Limits, wire::Hello Self,
                                 Handlers Callbacks)
    : Socket_(std::move(Peer)), Timer_(Socket_.get_executor()),
      Options_(Limits),
      LocalHello_(std::make_unique<LocalHello>(LocalHello{std::move(Self)})),
      Handlers_(std::move(Callbacks)), Received_(Options_.Budget_),
      ReadChunk_(MinReadBytes) {}

FrameConnection::~FrameConnection() = default;

void FrameConnection::start() {
  asio::dispatch(Socket_.get_executor(), [Self = Pointer(this)] {
    if (Self->StateMachine_.state() == ConnectionLifecycle::State::Closed)
      return;
    Self->StartTime_ = Self->LastReceiveTime_ = Self->Clock_.now();
    error_code Ignored;
    Self->Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
    Self->sendHello();
    Self->read();
    Self->armTimer();
  });
}

void FrameConnection::connect(const asio::ip::address &From,
                              const asio::ip::tcp::endpoint &To) {
  asio::dispatch(Socket_.get_executor(), [Self = Pointer(this), From, To] {
    if (Self->StateMachine_.state() == ConnectionLifecycle::State::Closed)
      return;
    Self->StartTime_ = Self->LastReceiveTime_ = Self->Clock_.now();
    Self->armTimer();
    error_code Failure;
    Self->Socket_.open(To.protocol(), Failure);
    if (!Failure)
      Self->Socket_.bind({From, 0}, Failure);
    if (Failure)
      return Self->finish(CloseCause::Unanswered);
    Self->Connecting_ = true;
    Self->Socket_.async_connect(To, [Self](const error_code &Error) {
      Self->Connecting_ = false;
      if (Error)
        return Self->finish(Error == asio::error::connection_refused
                                ? CloseCause::Refused
                                : CloseCause::Unanswered);
      if (Self->StateMachine_.state() == ConnectionLifecycle::State::Closed)
        return;
      error_code Ignored;
      Self->Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
      Self->sendHello();
      Self->read();
    });
  });
}

void FrameConnection::sendHello() {
  wire::Frame Message;
  Message.__set_hello(LocalHello_->Message_);
  std::string Bytes;
  appendFrame(Bytes, Message);
  {
    std::lock_guard<std::mutex> Lock(QueueMutex_);
    if (Closed_)
      return;
    // The Hello precedes frames that were queued while connecting.
    QueuedBytes_ += Bytes.size();
    Queue_.push_front({0, std::move(Bytes)});
    WriteActive_ = true;
  }
  startWrite();
}

bool FrameConnection::send(const wire::Frame &Message) {
  std::string Bytes;
  appendFrame(Bytes, Message);
  std::optional<CloseCause> Refused = trySendEncoded(std::move(Bytes));
  // Posted rather than called, because the caller may hold a lock that a
  // callback takes.
  if (Refused == CloseCause::Overflow)
    asio::post(Socket_.get_executor(),
               [Self = Pointer(this)] { Self->finish(CloseCause::Overflow); });
  return !Refused;
}

std::optional<CloseCause> FrameConnection::trySendEncoded(std::string Bytes,
                                                          int64_t Number) {
  // The other side would reject a larger frame as CloseCause::TooLarge and
  // close.
  if (Bytes.size() > LengthBytes + Options_.MaxFrameBytes_)
    return CloseCause::TooLarge;
  bool Small = Bytes.size() <= SmallFrameBytes;
  size_t Room = Options_.MaxQueuedBytes_ + (Small ? SmallFramesRoom : 0);
  {
    std::lock_guard<std::mutex> Lock(QueueMutex_);
    if (Closed_)
      return CloseCause::Lost;
    if (QueuedBytes_ + Bytes.size() > Room)
      return CloseCause::Overflow;
    QueuedBytes_ += Bytes.size();
    Queue_.push_back({Number, std::move(Bytes)});
    // Before the first write, sendHello() starts the writing.
    if (WriteActive_ || !HasWritten_)
      return {};
    WriteActive_ = true;
  }
  // Posted rather than called, for the same reason as in send().
  asio::post(Socket_.get_executor(),
             [Self = Pointer(this)] { Self->startWrite(); });
  return {};
}

bool FrameConnection::withdraw(int64_t Number) {
  std::lock_guard<std::mutex> Lock(QueueMutex_);
  auto Found =
      std::find_if(Queue_.begin(), Queue_.end(), [&](const QueuedFrame &Each) {
        return Each.Number_ == Number;
      });
  if (Number == 0 || Found == Queue_.end())
    return false;
  QueuedBytes_ -= Found->Bytes_.size();
  Queue_.erase(Found);
  return true;
}

void FrameConnection::startWrite() {
  {
    std::lock_guard<std::mutex> Lock(QueueMutex_);
    WriteBuffer_.clear();
    if (WriteBuffer_.capacity() > MaxRetainedBufferBytes)
      WriteBuffer_.shrink_to_fit();
    // In parts, so that what waits behind a slow link can be withdrawn.
    while (
        !Queue_.empty() &&
        (WriteBuffer_.empty() ||
         WriteBuffer_.size() + Queue_.front().Bytes_.size() <= MaxWriteBytes)) {
      QueuedBytes_ -= Queue_.front().Bytes_.size();
      if (WriteBuffer_.empty())
        WriteBuffer_ = std::move(Queue_.front().Bytes_);
      else
        WriteBuffer_ += Queue_.front().Bytes_;
      Queue_.pop_front();
    }
    if (WriteBuffer_.empty() || Closed_) {
      WriteActive_ = false;
      return;
    }
    HasWritten_ = true;
  }
  asio::async_write(Socket_, asio::buffer(WriteBuffer_),
                    [Self = Pointer(this)](const error_code &Error, size_t) {
                      if (Error)
                        return Self->finish(CloseCause::Lost);
                      Self->startWrite();
                    });
}

void FrameConnection::read() {
  resizeReadBuffer();
  Socket_.async_read_some(
      asio::buffer(ReadBuffer_.data() + ReadBufferUsed_,
                   ReadBuffer_.size() - ReadBufferUsed_),
      [Self = Pointer(this)](const error_code &Error, size_t Size) {
        if (Error)
          return Self->finish(CloseCause::Lost);
        Self->onRead(Size);
      });
}

void FrameConnection::resizeReadBuffer() {
  if (ReadBufferUsed_ == 0 && ReadBuffer_.size() > MaxReadBytes) {
    ReadBuffer_.clear();
    ReadBuffer_.shrink_to_fit();
    ReadChunk_ = MinReadBytes;
  }
  if (ReadBuffer_.size() < ReadBufferUsed_ + ReadChunk_)
    ReadBuffer_.resize(ReadBufferUsed_ + ReadChunk_);
}

void FrameConnection::onRead(size_t Size) {
  LastReceiveTime_ = Clock_.now();
  ProbeSentMs_ = NoProbe;
  if (Size >= ReadChunk_)
    ReadChunk_ = std::min(ReadChunk_ * 2, MaxReadBytes);
  ReadBufferUsed_ += Size;
  if (!processReceivedFrames())
    return;
  if (!Received_.resize(ReadBufferUsed_))
    return finish(CloseCause::ReceiveLimit);
  read();
}

bool FrameConnection::processReceivedFrames() {
  size_t Start = 0;
  while (ReadBufferUsed_ - Start >= LengthBytes) {
    size_t Length = readLength(ReadBuffer_.data() + Start);
    bool HandshakeDone =
        StateMachine_.state() == ConnectionLifecycle::State::Open;
    if (Length > (HandshakeDone ? Options_.MaxFrameBytes_ : MaxHelloBytes)) {
      bool IsFrame = HandshakeDone && Length < ImplausibleFrameBytes;
      finish(IsFrame ? CloseCause::TooLarge : CloseCause::Garbage);
      return false;
    }
    if (ReadBufferUsed_ - Start - LengthBytes < Length)
      break;
    wire::Frame Message;
    try {
      Message = decodeFrame({ReadBuffer_.data() + Start + LengthBytes, Length});
    } catch (const CodecError &) {
      finish(CloseCause::Garbage);
      return false;
    }
    Start += LengthBytes + Length;
    if (!handleFrame(std::move(Message)))
      return false;
  }
  ReadBufferUsed_ -= Start;
  if (Start > 0)
    std::memmove(ReadBuffer_.data(), ReadBuffer_.data() + Start,
                 ReadBufferUsed_);
  return true;
}

bool FrameConnection::handleFrame(wire::Frame &&Message) {
  if (StateMachine_.state() == ConnectionLifecycle::State::Closed)
    return false;
  if (Message.__isset.hello) {
    if (Message.hello.version != LocalHello_->Message_.version ||
        !StateMachine_.onHello()) {
      finish(CloseCause::Handshake);
      return false;
    }
    Handlers_.OnOpen_(*this, Message.hello);
    return true;
  }
  if (StateMachine_.state() == ConnectionLifecycle::State::Handshaking) {
    finish(CloseCause::Handshake);
    return false;
  }
  if (Message.__isset.heartbeat) {
    if (!Message.heartbeat.answer) {
      Message.heartbeat.__set_answer(true);
      send(Message);
    }
    return true;
  }
  Handlers_.OnFrame_(*this, std::move(Message));
  return true;
}

void FrameConnection::setAwaitingReplies(bool AwaitingReplies) {
  bool WasAwaiting = AwaitingReplies_.exchange(AwaitingReplies);
  if (WasAwaiting || !AwaitingReplies || TimerIsShort_)
    return;
  // The silence limit counts from the first call that awaits a reply. Posted
  // rather than called, because the caller may hold a lock that a callback
  // takes.
  asio::post(Socket_.get_executor(), [Self = Pointer(this)] {
    if (Self->StateMachine_.state() != ConnectionLifecycle::State::Open)
      return;
    Self->LastReceiveTime_ = Self->Clock_.now();
    Self->armTimer();
  });
}

void FrameConnection::armTimer() {
  bool ExpectsTraffic =
      AwaitingReplies_ ||
      StateMachine_.state() != ConnectionLifecycle::State::Open;
  TimerIsShort_ = ExpectsTraffic;
  // Reads AwaitingReplies_ a second time: setAwaitingReplies() may have set it
  // after the first read while TimerIsShort_ was still true, and then posts no
  // re-arm.
  if (!ExpectsTraffic && AwaitingReplies_)
    TimerIsShort_ = ExpectsTraffic = true;
  armTimer(nextCheckDelay(ExpectsTraffic));
}

void FrameConnection::armTimer(Millis Delay) {
  TimerDue_ = Clock_.now() + Delay;
  Timer_.expires_after(toChrono(Delay));
  Timer_.async_wait([Self = Pointer(this)](const error_code &Error) {
    if (!Error)
      Self->onTimer();
  });
}

// The check is due no later than the handshake or silence time-out, but at
// least MinCheckDelay from now.
Millis FrameConnection::nextCheckDelay(bool ExpectsTraffic) const {
  if (!ExpectsTraffic)
    return Options_.IdleHeartbeat_;
  bool Open = StateMachine_.state() == ConnectionLifecycle::State::Open;
  Millis Deadline = Open ? LastReceiveTime_ + Options_.Silent_
                         : StartTime_ + Options_.Connect_;
  Millis Remaining = std::max(MinCheckDelay, Deadline - Clock_.now());
  return std::min(Options_.Heartbeat_, Remaining);
}

void FrameConnection::onTimer() {
  if (StateMachine_.state() == ConnectionLifecycle::State::Closed)
    return;
  Millis Now = Clock_.now();
  // A timer that fires this late means that this process was paused. Bytes that
  // arrived meanwhile are still unread, so the pause does not count as silence
  // of the other side.
  if (Now > TimerDue_ + Options_.Heartbeat_) {
    LastReceiveTime_ = std::max(LastReceiveTime_, Now - Options_.Heartbeat_);
    StartTime_ = std::max(StartTime_, Now - Options_.Heartbeat_);
  }
  // This process may be late by less than that. What the other side sent in
  // time is then in the socket, or in a finished read whose handler runs before
  // the next timer.
  if (std::optional<CloseCause> Overdue = overdueCause(Now)) {
    if (std::exchange(LimitChecked_, true) && !hasUnhandledInput(Now))
      return finish(*Overdue);
    return armTimer(MinCheckDelay);
  }
  LimitChecked_ = false;
  bool Open = StateMachine_.state() == ConnectionLifecycle::State::Open;
  if (Open && Now - LastReceiveTime_ >= Options_.Heartbeat_ * 0.9)
    sendHeartbeatRequest();
  armTimer();
}

void FrameConnection::sendHeartbeatRequest() {
  wire::Heartbeat Request;
  Request.__set_sequence(++HeartbeatSequence_);
  Request.__set_answer(false);
  wire::Frame Message;
  Message.__set_heartbeat(Request);
  send(Message);
}

void FrameConnection::probe() {
  asio::post(Socket_.get_executor(), [Self = Pointer(this)] {
    if (Self->StateMachine_.state() != ConnectionLifecycle::State::Open ||
        Self->ProbeSentMs_ >= 0)
      return;
    Self->ProbeSentMs_ = Self->Clock_.now().count();
    Self->sendHeartbeatRequest();
  });
}

std::optional<Millis> FrameConnection::probeUnansweredSince() const {
  double Sent = ProbeSentMs_;
  return Sent < 0 ? std::nullopt : std::optional(Millis(Sent));
}

std::optional<CloseCause> FrameConnection::overdueCause(Millis Now) const {
  if (StateMachine_.state() != ConnectionLifecycle::State::Open)
    return Now - StartTime_ >= Options_.Connect_
               ? std::optional(CloseCause::Unanswered)
               : std::nullopt;
  Millis SilenceLimit =
      AwaitingReplies_ ? Options_.Silent_ : Options_.IdleHeartbeat_ * 3;
  return Now - LastReceiveTime_ >= SilenceLimit
             ? std::optional(CloseCause::Silent)
             : std::nullopt;
}

// A Hello that arrives in pieces prolongs the handshake by its time limit at
// most.
bool FrameConnection::hasUnhandledInput(Millis Now) {
  if (StateMachine_.state() != ConnectionLifecycle::State::Open &&
      Now - StartTime_ >= Options_.Connect_ * 2)
    return false;
  if (Connecting_) {
    pollfd Poll{Socket_.native_handle(), POLLOUT, 0};
    return ::poll(&Poll, 1, 0) > 0;
  }
  error_code Error;
  return Socket_.available(Error) > 0;
}

void FrameConnection::close() {
  asio::dispatch(Socket_.get_executor(),
                 [Self = Pointer(this)] { Self->finish(CloseCause::Local); });
}

void FrameConnection::finish(CloseCause Cause) {
  if (!StateMachine_.close())
    return;
  {
    std::lock_guard<std::mutex> Lock(QueueMutex_);
    Closed_ = true;
  }
  error_code Ignored;
  Timer_.cancel();
  Socket_.close(Ignored);
  Handlers_.OnClosed_(*this, Cause);
  // The callbacks may hold references to this connection; dropping them breaks
  // the reference cycle.
  asio::post(Socket_.get_executor(),
             [Self = Pointer(this)] { Self->Handlers_ = Handlers(); });
}

} // namespace coltsfoot
