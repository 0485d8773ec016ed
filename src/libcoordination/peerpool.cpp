#include "peerpool.h"

#include "codec.h"
#include "coltsfoot_types.h"
#include "peerdoubt.h"
#include "timer.h"

#include "coltsfootpoint/log.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <charconv>
#include <unordered_map>
#include <vector>

namespace coltsfoot {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// While connections are lost as silent, the others are probed this often.
constexpr Millis ProbeInterval(1000);
/// The most connections that are probed at once, so that the work of a node
/// doesn't grow with the fleet; the next probes go to the others.
constexpr size_t MaxProbes = 256;
constexpr Millis DoubtCheckInterval(50);

/// Parses `ip:port`; returns nothing if it is malformed.
std::optional<tcp::endpoint> parseEndpoint(std::string_view Node) {
  size_t Colon = Node.rfind(':');
  if (Colon == std::string_view::npos)
    return {};
  uint16_t Port = 0;
  auto Parsed =
      std::from_chars(Node.data() + Colon + 1, Node.data() + Node.size(), Port);
  boost::system::error_code Failure;
  auto Address =
      asio::ip::make_address(std::string(Node.substr(0, Colon)), Failure);
  if (Failure || Parsed.ec != std::errc() ||
      Parsed.ptr != Node.data() + Node.size())
    return {};
  return tcp::endpoint(Address, Port);
}

void setNumber(wire::Frame &Message, int64_t Number) {
  if (Message.__isset.offer)
    Message.offer.attempt = Number;
  else if (Message.__isset.inquiry)
    Message.inquiry.attempt = Number;
  else if (Message.__isset.config_fetch)
    Message.config_fetch.sequence = Number;
  else if (Message.__isset.status_fetch)
    Message.status_fetch.sequence = Number;
  else if (Message.__isset.freshness_fetch)
    Message.freshness_fetch.sequence = Number;
  else if (Message.__isset.allowance_ask)
    Message.allowance_ask.sequence = Number;
}

int64_t numberOf(const wire::Frame &Answer) {
  if (Answer.__isset.reply)
    return Answer.reply.attempt;
  if (Answer.__isset.config_batch)
    return Answer.config_batch.sequence;
  if (Answer.__isset.status_batch)
    return Answer.status_batch.sequence;
  if (Answer.__isset.freshness_batch)
    return Answer.freshness_batch.sequence;
  if (Answer.__isset.allowance_grant)
    return Answer.allowance_grant.sequence;
  return 0;
}

wire::Frame cancelFrame(int64_t Number) {
  wire::Cancel Cancel;
  Cancel.__set_attempt(Number);
  wire::Frame Message;
  Message.__set_cancel(Cancel);
  return Message;
}

} // namespace

/// The connection to one node, reopened on the next message after it was lost.
class PeerPool::NodeConnection
    : public std::enable_shared_from_this<NodeConnection> {
public:
  NodeConnection(PeerPool &Pool, std::string Node)
      : Pool_(Pool), Node_(std::move(Node)) {}

  void send(int64_t Number, std::string Bytes,
            std::optional<Incarnation> ExpectedIncarnation, Handler OnEnd) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (Closed_) {
      Lock.unlock();
      OnEnd(MessageLost{false, false, CloseCause::Local});
      return;
    }
    UnsentMessage Entry{std::move(Bytes), ExpectedIncarnation,
                        std::move(OnEnd)};
    if (!Open_) {
      Unsent_.emplace(Number, std::move(Entry));
      if (!Connection_)
        connect(Lock);
      return;
    }
    std::optional<MessageLost> Lost = transmit(Number, Entry);
    updateAwaiting();
    Lock.unlock();
    if (Lost)
      Entry.OnEnd_(*Lost);
  }

  bool forget(int64_t Number, bool SendCancel) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (Unsent_.erase(Number) > 0)
      return false;
    if (Unanswered_.erase(Number) == 0)
      return true;
    updateAwaiting();
    if (Connection_ && Connection_->withdraw(Number))
      return false;
    if (SendCancel && Connection_)
      Connection_->send(cancelFrame(Number));
    return true;
  }

  void cancel(int64_t Number) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    auto Entry = Unsent_.find(Number);
    if (Entry != Unsent_.end()) {
      Handler OnEnd = std::move(Entry->second.OnEnd_);
      Unsent_.erase(Entry);
      Lock.unlock();
      OnEnd(MessageLost{false, false, CloseCause::Local});
      return;
    }
    auto Sent = Unanswered_.find(Number);
    if (!Connection_ || Sent == Unanswered_.end())
      return;
    if (!Connection_->withdraw(Number)) {
      Connection_->send(cancelFrame(Number));
      return;
    }
    Handler OnEnd = std::move(Sent->second);
    Unanswered_.erase(Sent);
    updateAwaiting();
    Lock.unlock();
    OnEnd(MessageLost{false, false, CloseCause::Local});
  }

  void probe() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Connection_ && Open_)
      Connection_->probe();
  }

  /// Returns the process if it is doubtful.
  std::optional<NodeRef> doubt(Millis Now) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    PeerSigns Signs{{}, LostSilent_};
    if (Connection_ && Open_)
      Signs.ProbeSent_ = Connection_->probeUnansweredSince();
    if (!isDoubtful(Signs, Now))
      return {};
    return NodeRef{Node_, Incarnation_};
  }

  void close() {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Closed_ = true;
    FrameConnection::Pointer Connection = Connection_;
    Lock.unlock();
    if (Connection)
      Connection->close();
  }

  /// Breaks the reference cycle with a connection whose OnClosed_ handler,
  /// which would do so, may never be called.
  void breakReferenceCycle() {
    FrameConnection::Pointer Connection;
    std::map<int64_t, UnsentMessage> Unsent;
    std::unordered_map<int64_t, Handler> Sent;
    std::lock_guard<std::mutex> Lock(Mutex_);
    std::swap(Connection, Connection_);
    std::swap(Unsent, Unsent_);
    std::swap(Sent, Unanswered_);
  }

private:
  struct UnsentMessage {
    std::string Bytes_;
    std::optional<Incarnation> ExpectedIncarnation_;
    Handler OnEnd_;
  };

  /// Sends a message on the open connection and, on success, takes over its
  /// handler. Called with the mutex held, so that a cancel message can't be
  /// sent before the message itself; calls no handler.
  std::optional<MessageLost> transmit(int64_t Number, UnsentMessage &Entry) {
    if (Entry.ExpectedIncarnation_ &&
        *Entry.ExpectedIncarnation_ != Incarnation_)
      return MessageLost{false, true, CloseCause::Local};
    if (auto Cause =
            Connection_->trySendEncoded(std::move(Entry.Bytes_), Number))
      return MessageLost{false, false, *Cause};
    Unanswered_.emplace(Number, std::move(Entry.OnEnd_));
    return {};
  }

  /// Opens the connection. Called with the mutex locked, which it unlocks.
  void connect(std::unique_lock<std::mutex> &Lock) {
    auto Target = parseEndpoint(Node_);
    if (!Target) {
      auto Lost = std::move(Unsent_);
      Unsent_.clear();
      Lock.unlock();
      for (auto &[Number, Entry] : Lost)
        Entry.OnEnd_(MessageLost{false, false, CloseCause::Refused});
      return;
    }
    FrameConnection::Handlers Handlers;
    Handlers.OnOpen_ = [Self = shared_from_this()](FrameConnection &,
                                                   const wire::Hello &Hello) {
      Self->onOpen(Hello);
    };
    Handlers.OnFrame_ = [Self = shared_from_this()](FrameConnection &,
                                                    wire::Frame &&Message) {
      Self->onFrame(std::move(Message));
    };
    Handlers.OnClosed_ = [Self = shared_from_this()](
                             FrameConnection &Connection, CloseCause Cause) {
      Self->onClosed(Connection, Cause);
    };
    Connection_ = FrameConnection::create(
        tcp::socket(asio::make_strand(Pool_.Context_)), Pool_.Options_,
        *Pool_.Self_, std::move(Handlers));
    FrameConnection::Pointer Connection = Connection_;
    Lock.unlock();
    Connection->connect(Pool_.SourceAddress_, *Target);
  }

  void onOpen(const wire::Hello &Hello) {
    std::vector<std::pair<Handler, MessageLost>> Failed;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Open_ = true;
      LostSilent_.reset();
      Incarnation_ = static_cast<Incarnation>(Hello.incarnation);
      auto Ready = std::move(Unsent_);
      Unsent_.clear();
      for (auto &[Number, Entry] : Ready)
        if (auto Lost = transmit(Number, Entry))
          Failed.emplace_back(std::move(Entry.OnEnd_), *Lost);
      updateAwaiting();
    }
    for (auto &[OnEnd, Lost] : Failed)
      OnEnd(Lost);
  }

  void onFrame(wire::Frame &&Message) {
    Handler OnEnd;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      auto Entry = Unanswered_.find(numberOf(Message));
      if (Entry == Unanswered_.end())
        return;
      OnEnd = std::move(Entry->second);
      Unanswered_.erase(Entry);
      updateAwaiting();
    }
    OnEnd(std::make_shared<const wire::Frame>(std::move(Message)));
  }

  void onClosed(FrameConnection &Connection, CloseCause Cause) {
    if (Cause != CloseCause::Local)
      logEvent(LogLevel::Warning, "peer_connection_closed",
               {{"peer", Node_}, {"cause", closeCauseName(Cause)}});
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (Connection_.get() != &Connection)
      return;
    Connection_ = nullptr;
    Open_ = false;
    bool Silent =
        Cause == CloseCause::Silent || Cause == CloseCause::Unanswered;
    if (Silent)
      LostSilent_ = Pool_.Clock_.now();
    auto Unsent = std::move(Unsent_);
    Unsent_.clear();
    auto Sent = std::move(Unanswered_);
    Unanswered_.clear();
    Lock.unlock();
    if (Silent)
      Pool_.onSilent();
    for (auto &[Number, Entry] : Unsent)
      Entry.OnEnd_(MessageLost{false, false, Cause});
    for (auto &[Number, OnEnd] : Sent)
      OnEnd(MessageLost{true, false, Cause});
  }

  void updateAwaiting() {
    if (Connection_)
      Connection_->setAwaitingReplies(!Unanswered_.empty());
  }

  PeerPool &Pool_;
  const std::string Node_;
  std::mutex Mutex_; // guards the members below
  FrameConnection::Pointer Connection_;
  bool Open_ = false;
  bool Closed_ = false;
  Incarnation Incarnation_ = 0;
  std::optional<Millis> LostSilent_; ///< See PeerSigns.
  std::map<int64_t, UnsentMessage> Unsent_;
  std::unordered_map<int64_t, Handler> Unanswered_;
};

PeerPool::PeerPool(asio::io_context &Context, FrameConnection::Options Limits,
                   asio::ip::address SourceAddress, wire::Hello Self)
    : Context_(Context), Options_(Limits),
      SourceAddress_(std::move(SourceAddress)),
      Self_(std::make_unique<wire::Hello>(std::move(Self))),
      DoubtTimer_(asio::make_strand(Context)) {}

PeerPool::~PeerPool() {
  close();
  for (auto &[Node, To] : Connections_)
    To->breakReferenceCycle();
}

void PeerPool::setLocalHandler(LocalHandler Local) {
  LocalHandler_ = std::move(Local);
}

std::shared_ptr<PeerPool::NodeConnection>
PeerPool::getOrCreateConnection(const std::string &Node) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Closed_)
    return nullptr;
  auto &Entry = Connections_[Node];
  if (!Entry)
    Entry = std::make_shared<NodeConnection>(*this, Node);
  return Entry;
}

std::shared_ptr<PeerPool::NodeConnection>
PeerPool::findConnection(const std::string &Node) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Entry = Connections_.find(Node);
  return Entry == Connections_.end() ? nullptr : Entry->second;
}

void PeerPool::call(const std::string &Node, int64_t Number,
                    wire::Frame Message,
                    std::optional<Incarnation> ExpectedIncarnation,
                    Handler OnEnd) {
  setNumber(Message, Number);
  if (Node == Self_->node) {
    if (ExpectedIncarnation &&
        *ExpectedIncarnation != static_cast<Incarnation>(Self_->incarnation))
      OnEnd(MessageLost{false, true, CloseCause::Local});
    else
      LocalHandler_(Message, [OnEnd = std::move(OnEnd)](wire::Frame Answer) {
        OnEnd(std::make_shared<const wire::Frame>(std::move(Answer)));
      });
    return;
  }
  std::string Bytes;
  appendFrame(Bytes, Message);
  std::shared_ptr<NodeConnection> To;
  if (Bytes.size() <= Options_.MaxFrameBytes_)
    To = getOrCreateConnection(Node);
  if (To)
    To->send(Number, std::move(Bytes), ExpectedIncarnation, std::move(OnEnd));
  else
    OnEnd(MessageLost{false, false, CloseCause::Local});
}

bool PeerPool::forget(const std::string &Node, int64_t Number,
                      bool SendCancel) {
  if (Node == Self_->node) {
    if (SendCancel)
      cancel(Node, Number);
    return true;
  }
  std::shared_ptr<NodeConnection> To = findConnection(Node);
  return !To || To->forget(Number, SendCancel);
}

void PeerPool::cancel(const std::string &Node, int64_t Number) {
  if (Node == Self_->node)
    LocalHandler_(cancelFrame(Number), {});
  else if (std::shared_ptr<NodeConnection> To = findConnection(Node))
    To->cancel(Number);
}

std::vector<std::shared_ptr<PeerPool::NodeConnection>>
PeerPool::connections() const {
  std::vector<std::shared_ptr<NodeConnection>> Found;
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (const auto &[Node, To] : Connections_)
    Found.push_back(To);
  return Found;
}

PeerPool::NodeList PeerPool::doubtful() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Doubtful_;
}

// Called when nothing has come from one node for too long.
void PeerPool::onSilent() {
  bool Probes = false;
  bool StartsChecks = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Closed_)
      return;
    Millis Now = Clock_.now();
    Probes = !LastProbe_ || Now - *LastProbe_ >= ProbeInterval;
    if (Probes)
      LastProbe_ = Now;
    StartsChecks = !std::exchange(ChecksDoubts_, true);
  }
  if (Probes)
    probeOthers();
  updateDoubts();
  if (StartsChecks)
    scheduleDoubtCheck();
}

void PeerPool::probeOthers() {
  std::vector<std::shared_ptr<NodeConnection>> All = connections();
  size_t Count = std::min(All.size(), MaxProbes);
  for (size_t I = 0; I < Count; ++I)
    All[(FirstProbed_ + I) % All.size()]->probe();
  FirstProbed_ += Count;
}

void PeerPool::updateDoubts() {
  Millis Now = Clock_.now();
  auto Found = std::make_shared<std::vector<NodeRef>>();
  for (const std::shared_ptr<NodeConnection> &To : connections())
    if (std::optional<NodeRef> Doubted = To->doubt(Now))
      Found->push_back(std::move(*Doubted));
  size_t Before = 0;
  size_t After = Found->size();
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Before = Doubtful_->size();
    Doubtful_ = std::move(Found);
  }
  if ((Before == 0) != (After == 0))
    logEvent(LogLevel::Info, "peers_doubted", {{"count", int64_t(After)}});
}

void PeerPool::scheduleDoubtCheck() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Closed_)
    return;
  DoubtTimer_.expires_after(toChrono(DoubtCheckInterval));
  DoubtTimer_.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    updateDoubts();
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      bool Recent = Clock_.now() - *LastProbe_ < ProbeInterval;
      ChecksDoubts_ = Recent || !Doubtful_->empty();
      if (!ChecksDoubts_)
        return;
    }
    scheduleDoubtCheck();
  });
}

void PeerPool::close() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Closed_ = true;
    DoubtTimer_.cancel();
  }
  for (const std::shared_ptr<NodeConnection> &To : connections())
    To->close();
}

} // namespace coltsfoot
