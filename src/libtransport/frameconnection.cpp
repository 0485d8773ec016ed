#include "frameconnection.h"

#include "codec.h"
#include "coltsfoot_types.h"
#include "timer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstring>

namespace coltsfoot {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Reads grow with the traffic, so that an idle connection costs little.
constexpr size_t MinReadBytes = size_t{4} * 1024;
constexpr size_t MaxReadBytes = size_t{256} * 1024;
constexpr size_t MaxGreetingBytes = size_t{4} * 1024;
constexpr size_t MaxSpareBytes = size_t{64} * 1024;
constexpr Millis MinCheck{1};
constexpr size_t LengthBytes = 4;

uint32_t readLength(const char *Bytes) {
  uint32_t Length = 0;
  for (size_t I = 0; I < LengthBytes; ++I)
    Length = (Length << 8U) | static_cast<unsigned char>(Bytes[I]);
  return Length;
}

} // namespace

struct FrameConnection::Greeting {
  wire::Hello Self_;
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
      Greeting_(std::make_unique<Greeting>(Greeting{std::move(Self)})),
      Handlers_(std::move(Callbacks)), ReadChunk_(MinReadBytes) {}

FrameConnection::~FrameConnection() = default;

void FrameConnection::start() {
  asio::dispatch(Socket_.get_executor(), [Self = Pointer(this)] {
    if (Self->Life_.state() == ConnectionLife::State::Closed)
      return;
    Self->Started_ = Self->LastHeard_ = Self->Clock_.now();
    error_code Ignored;
    Self->Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
    Self->greet();
    Self->read();
    Self->armTimer();
  });
}

void FrameConnection::connect(const asio::ip::address &From,
                              const asio::ip::tcp::endpoint &To) {
  asio::dispatch(Socket_.get_executor(), [Self = Pointer(this), From, To] {
    if (Self->Life_.state() == ConnectionLife::State::Closed)
      return;
    Self->Started_ = Self->LastHeard_ = Self->Clock_.now();
    Self->armTimer();
    error_code Failure;
    Self->Socket_.open(To.protocol(), Failure);
    if (!Failure)
      Self->Socket_.bind({From, 0}, Failure);
    if (Failure)
      return Self->finish(CloseCause::Unanswered);
    Self->Socket_.async_connect(To, [Self](const error_code &Error) {
      if (Error)
        return Self->finish(Error == asio::error::connection_refused
                                ? CloseCause::Refused
                                : CloseCause::Unanswered);
      if (Self->Life_.state() == ConnectionLife::State::Closed)
        return;
      error_code Ignored;
      Self->Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
      Self->greet();
      Self->read();
    });
  });
}

void FrameConnection::greet() {
  wire::Frame Message;
  Message.__set_hello(Greeting_->Self_);
  std::string Bytes;
  appendFrame(Bytes, Message);
  {
    std::lock_guard<std::mutex> Lock(OutMutex_);
    if (Closed_)
      return;
    // The greeting goes before whatever was queued while connecting.
    Out_.insert(0, Bytes);
    WriteActive_ = true;
  }
  startWrite();
}

bool FrameConnection::send(const wire::Frame &Message) {
  std::string Bytes;
  appendFrame(Bytes, Message);
  return sendEncoded(Bytes);
}

bool FrameConnection::sendEncoded(std::string_view Bytes) {
  // The other side would take a larger frame for garbage and close.
  if (Bytes.size() > LengthBytes + Options_.MaxFrameBytes_)
    return false;
  bool Full = false;
  {
    std::lock_guard<std::mutex> Lock(OutMutex_);
    if (Closed_)
      return false;
    Full = Out_.size() + Bytes.size() > Options_.MaxQueuedBytes_;
    if (!Full)
      Out_ += Bytes;
    if (!Full && (WriteActive_ || !HasWritten_))
      return true;
    WriteActive_ = true;
  }
  // Posted, since the caller may hold a lock that a callback takes.
  asio::post(Socket_.get_executor(), [Self = Pointer(this), Full] {
    if (Full)
      Self->finish(CloseCause::Overflow);
    else
      Self->startWrite();
  });
  return !Full;
}

void FrameConnection::startWrite() {
  {
    std::lock_guard<std::mutex> Lock(OutMutex_);
    Writing_.clear();
    if (Writing_.capacity() > MaxSpareBytes)
      Writing_.shrink_to_fit();
    std::swap(Writing_, Out_);
    if (Writing_.empty() || Closed_) {
      WriteActive_ = false;
      return;
    }
    HasWritten_ = true;
  }
  asio::async_write(Socket_, asio::buffer(Writing_),
                    [Self = Pointer(this)](const error_code &Error, size_t) {
                      if (Error)
                        return Self->finish(CloseCause::Lost);
                      Self->startWrite();
                    });
}

void FrameConnection::read() {
  fitBuffer();
  Socket_.async_read_some(
      asio::buffer(In_.data() + InUsed_, In_.size() - InUsed_),
      [Self = Pointer(this)](const error_code &Error, size_t Size) {
        if (Error)
          return Self->finish(CloseCause::Lost);
        Self->onRead(Size);
      });
}

void FrameConnection::fitBuffer() {
  if (InUsed_ == 0 && In_.size() > MaxReadBytes) {
    In_.clear();
    In_.shrink_to_fit();
    ReadChunk_ = MinReadBytes;
  }
  if (In_.size() < InUsed_ + ReadChunk_)
    In_.resize(InUsed_ + ReadChunk_);
}

void FrameConnection::onRead(size_t Size) {
  LastHeard_ = Clock_.now();
  if (Size >= ReadChunk_)
    ReadChunk_ = std::min(ReadChunk_ * 2, MaxReadBytes);
  InUsed_ += Size;
  if (takeFrames())
    read();
}

bool FrameConnection::takeFrames() {
  size_t Start = 0;
  while (InUsed_ - Start >= LengthBytes) {
    size_t Length = readLength(In_.data() + Start);
    bool Greeted = Life_.state() == ConnectionLife::State::Open;
    if (Length > (Greeted ? Options_.MaxFrameBytes_ : MaxGreetingBytes)) {
      finish(CloseCause::Garbage);
      return false;
    }
    if (InUsed_ - Start - LengthBytes < Length)
      break;
    wire::Frame Message;
    try {
      Message = decodeFrame({In_.data() + Start + LengthBytes, Length});
    } catch (const CodecError &) {
      finish(CloseCause::Garbage);
      return false;
    }
    Start += LengthBytes + Length;
    if (!handleFrame(std::move(Message)))
      return false;
  }
  InUsed_ -= Start;
  if (Start > 0)
    std::memmove(In_.data(), In_.data() + Start, InUsed_);
  return true;
}

bool FrameConnection::handleFrame(wire::Frame &&Message) {
  if (Life_.state() == ConnectionLife::State::Closed)
    return false;
  if (Message.__isset.hello) {
    if (Message.hello.version != Greeting_->Self_.version || !Life_.greet()) {
      finish(CloseCause::Handshake);
      return false;
    }
    Handlers_.OnOpen_(*this, Message.hello);
    return true;
  }
  if (Life_.state() == ConnectionLife::State::Handshaking) {
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

void FrameConnection::awaitReplies(bool Awaiting) {
  bool Before = Awaiting_.exchange(Awaiting);
  if (Before || !Awaiting || TimerIsShort_)
    return;
  // Silence counts from the first call that awaits an answer. Posted, since
  // the caller may hold a lock that a callback takes.
  asio::post(Socket_.get_executor(), [Self = Pointer(this)] {
    if (Self->Life_.state() != ConnectionLife::State::Open)
      return;
    Self->LastHeard_ = Self->Clock_.now();
    Self->armTimer();
  });
}

void FrameConnection::armTimer() {
  bool Watchful = Awaiting_ || Life_.state() != ConnectionLife::State::Open;
  TimerIsShort_ = Watchful;
  // Looked at again, since awaitReplies() trusts in a short timer.
  if (!Watchful && Awaiting_)
    TimerIsShort_ = Watchful = true;
  Millis Wait = nextCheck(Watchful);
  TimerDue_ = Clock_.now() + Wait;
  Timer_.expires_after(toChrono(Wait));
  Timer_.async_wait([Self = Pointer(this)](const error_code &Error) {
    if (!Error)
      Self->onTimer();
  });
}

// A check is never later than the moment at which the connection may end.
Millis FrameConnection::nextCheck(bool Watchful) const {
  if (!Watchful)
    return Options_.IdleHeartbeat_;
  bool Open = Life_.state() == ConnectionLife::State::Open;
  Millis End =
      Open ? LastHeard_ + Options_.Silent_ : Started_ + Options_.Connect_;
  Millis Left = std::max(MinCheck, End - Clock_.now());
  return std::min(Options_.Heartbeat_, Left);
}

void FrameConnection::onTimer() {
  if (Life_.state() == ConnectionLife::State::Closed)
    return;
  Millis Now = Clock_.now();
  // When this process itself was paused, what the other side sent meanwhile
  // is still unread: the silence is our own and is not held against it.
  if (Now > TimerDue_ + Options_.Heartbeat_) {
    LastHeard_ = std::max(LastHeard_, Now - Options_.Heartbeat_);
    Started_ = std::max(Started_, Now - Options_.Heartbeat_);
  }
  Millis Silence = Now - LastHeard_;
  bool Open = Life_.state() == ConnectionLife::State::Open;
  if (!Open && Now - Started_ >= Options_.Connect_)
    return finish(CloseCause::Unanswered);
  bool Watchful = Awaiting_;
  Millis Bound = Watchful ? Options_.Silent_ : Options_.IdleHeartbeat_ * 3;
  if (Open && Silence >= Bound)
    return finish(CloseCause::Silent);
  if (Open && Silence >= Options_.Heartbeat_ * 0.9) {
    wire::Heartbeat Beat;
    Beat.__set_sequence(++HeartbeatSequence_);
    Beat.__set_answer(false);
    wire::Frame Message;
    Message.__set_heartbeat(Beat);
    send(Message);
  }
  armTimer();
}

void FrameConnection::close() {
  asio::dispatch(Socket_.get_executor(),
                 [Self = Pointer(this)] { Self->finish(CloseCause::Local); });
}

void FrameConnection::finish(CloseCause Cause) {
  if (!Life_.close())
    return;
  {
    std::lock_guard<std::mutex> Lock(OutMutex_);
    Closed_ = true;
  }
  error_code Ignored;
  Timer_.cancel();
  Socket_.close(Ignored);
  Handlers_.OnClosed_(*this, Cause);
  // Breaks the cycle between the connection and what its callbacks hold.
  asio::post(Socket_.get_executor(),
             [Self = Pointer(this)] { Self->Handlers_ = Handlers(); });
}

} // namespace coltsfoot
