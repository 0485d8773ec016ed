#include "peerpool.h"

#include "codec.h"
#include "coltsfoot_types.h"

#include "coltsfootpoint/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <charconv>
#include <unordered_map>
#include <vector>

namespace coltsfoot {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Returns the endpoint of `ip:port`, or nothing.
std::optional<tcp::endpoint> parseNode(std::string_view Node) {
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
}

int64_t numberOf(const wire::Frame &Answer) {
  if (Answer.__isset.reply)
    return Answer.reply.attempt;
  if (Answer.__isset.config_batch)
    return Answer.config_batch.sequence;
  if (Answer.__isset.status_batch)
    return Answer.status_batch.sequence;
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

/// The connection to one node, remade when it is needed again after a loss.
class PeerPool::Link : public std::enable_shared_from_this<Link> {
public:
  Link(PeerPool &Pool, std::string Node)
      : Pool_(Pool), Node_(std::move(Node)) {}

  void send(int64_t Number, std::string Bytes,
            std::optional<Incarnation> Wanted, Handler OnEnd) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (Closed_) {
      Lock.unlock();
      OnEnd(PeerLost{false, false, CloseCause::Local});
      return;
    }
    Waiting Entry{std::move(Bytes), Wanted, std::move(OnEnd)};
    if (!Open_) {
      Waiting_.emplace(Number, std::move(Entry));
      if (!Connection_)
        connect(Lock);
      return;
    }
    std::optional<PeerLost> Lost = pass(Number, Entry);
    updateAwaiting();
    Lock.unlock();
    if (Lost)
      Entry.OnEnd_(*Lost);
  }

  bool forget(int64_t Number, bool Tell) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (Waiting_.erase(Number) > 0)
      return false;
    if (Pending_.erase(Number) == 0)
      return true;
    updateAwaiting();
    if (Tell && Connection_)
      Connection_->send(cancelFrame(Number));
    return true;
  }

  void cancel(int64_t Number) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    auto Entry = Waiting_.find(Number);
    if (Entry != Waiting_.end()) {
      Handler OnEnd = std::move(Entry->second.OnEnd_);
      Waiting_.erase(Entry);
      Lock.unlock();
      OnEnd(PeerLost{false, false, CloseCause::Local});
      return;
    }
    if (Connection_ && Pending_.count(Number) > 0)
      Connection_->send(cancelFrame(Number));
  }

  void close() {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Closed_ = true;
    FrameConnection::Pointer Connection = Connection_;
    Lock.unlock();
    if (Connection)
      Connection->close();
  }

  /// Breaks the cycle with a connection that will not report its end.
  void drop() {
    FrameConnection::Pointer Connection;
    std::map<int64_t, Waiting> Unsent;
    std::unordered_map<int64_t, Handler> Sent;
    std::lock_guard<std::mutex> Lock(Mutex_);
    std::swap(Connection, Connection_);
    std::swap(Unsent, Waiting_);
    std::swap(Sent, Pending_);
  }

private:
  struct Waiting {
    std::string Bytes_;
    std::optional<Incarnation> Wanted_;
    Handler OnEnd_;
  };

  /// Sends a message on the open connection, and takes its handler if that
  /// goes well. Done under the lock, so that its cancellation can't overtake
  /// it; no callback is called.
  std::optional<PeerLost> pass(int64_t Number, Waiting &Entry) {
    if (Entry.Wanted_ && *Entry.Wanted_ != Incarnation_)
      return PeerLost{false, true, CloseCause::Local};
    if (!Connection_->sendEncoded(Entry.Bytes_))
      return PeerLost{false, false, CloseCause::Lost};
    Pending_.emplace(Number, std::move(Entry.OnEnd_));
    return {};
  }

  void connect(std::unique_lock<std::mutex> &Lock) {
    auto Target = parseNode(Node_);
    if (!Target) {
      auto Lost = std::move(Waiting_);
      Waiting_.clear();
      Lock.unlock();
      for (auto &[Number, Entry] : Lost)
        Entry.OnEnd_(PeerLost{false, false, CloseCause::Refused});
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
    Connection->connect(Pool_.From_, *Target);
  }

  void onOpen(const wire::Hello &Hello) {
    std::vector<std::pair<Handler, PeerLost>> Unsent;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Open_ = true;
      Incarnation_ = static_cast<Incarnation>(Hello.incarnation);
      auto Ready = std::move(Waiting_);
      Waiting_.clear();
      for (auto &[Number, Entry] : Ready)
        if (auto Lost = pass(Number, Entry))
          Unsent.emplace_back(std::move(Entry.OnEnd_), *Lost);
      updateAwaiting();
    }
    for (auto &[OnEnd, Lost] : Unsent)
      OnEnd(Lost);
  }

  void onFrame(wire::Frame &&Message) {
    Handler OnEnd;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      auto Entry = Pending_.find(numberOf(Message));
      if (Entry == Pending_.end())
        return;
      OnEnd = std::move(Entry->second);
      Pending_.erase(Entry);
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
    auto Unsent = std::move(Waiting_);
    Waiting_.clear();
    auto Sent = std::move(Pending_);
    Pending_.clear();
    Lock.unlock();
    for (auto &[Number, Entry] : Unsent)
      Entry.OnEnd_(PeerLost{false, false, Cause});
    for (auto &[Number, OnEnd] : Sent)
      OnEnd(PeerLost{true, false, Cause});
  }

  void updateAwaiting() {
    if (Connection_)
      Connection_->awaitReplies(!Pending_.empty());
  }

  PeerPool &Pool_;
  const std::string Node_;
  std::mutex Mutex_; // guards the members below
  FrameConnection::Pointer Connection_;
  bool Open_ = false;
  bool Closed_ = false;
  Incarnation Incarnation_ = 0;
  std::map<int64_t, Waiting> Waiting_;
  std::unordered_map<int64_t, Handler> Pending_;
};

PeerPool::PeerPool(asio::io_context &Context, FrameConnection::Options Limits,
                   asio::ip::address From, wire::Hello Self)
    : Context_(Context), Options_(Limits), From_(std::move(From)),
      Self_(std::make_unique<wire::Hello>(std::move(Self))) {}

PeerPool::~PeerPool() {
  close();
  for (auto &[Node, To] : Links_)
    To->drop();
}

void PeerPool::setLocal(LocalHandler Local) { Local_ = std::move(Local); }

std::shared_ptr<PeerPool::Link> PeerPool::link(const std::string &Node) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Closed_)
    return nullptr;
  auto &Entry = Links_[Node];
  if (!Entry)
    Entry = std::make_shared<Link>(*this, Node);
  return Entry;
}

std::shared_ptr<PeerPool::Link> PeerPool::findLink(const std::string &Node) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Entry = Links_.find(Node);
  return Entry == Links_.end() ? nullptr : Entry->second;
}

void PeerPool::call(const std::string &Node, int64_t Number,
                    wire::Frame Message, std::optional<Incarnation> Wanted,
                    Handler OnEnd) {
  setNumber(Message, Number);
  if (Node == Self_->node) {
    if (Wanted && *Wanted != static_cast<Incarnation>(Self_->incarnation))
      OnEnd(PeerLost{false, true, CloseCause::Local});
    else
      Local_(Message, [OnEnd = std::move(OnEnd)](wire::Frame Answer) {
        OnEnd(std::make_shared<const wire::Frame>(std::move(Answer)));
      });
    return;
  }
  std::string Bytes;
  appendFrame(Bytes, Message);
  std::shared_ptr<Link> To;
  if (Bytes.size() <= Options_.MaxFrameBytes_)
    To = link(Node);
  if (To)
    To->send(Number, std::move(Bytes), Wanted, std::move(OnEnd));
  else
    OnEnd(PeerLost{false, false, CloseCause::Local});
}

bool PeerPool::forget(const std::string &Node, int64_t Number, bool Tell) {
  if (Node == Self_->node) {
    if (Tell)
      cancel(Node, Number);
    return true;
  }
  std::shared_ptr<Link> To = findLink(Node);
  return !To || To->forget(Number, Tell);
}

void PeerPool::cancel(const std::string &Node, int64_t Number) {
  if (Node == Self_->node)
    Local_(cancelFrame(Number), {});
  else if (std::shared_ptr<Link> To = findLink(Node))
    To->cancel(Number);
}

void PeerPool::close() {
  std::vector<std::shared_ptr<Link>> Links;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Closed_ = true;
    for (auto &[Node, To] : Links_)
      Links.push_back(To);
  }
  for (const std::shared_ptr<Link> &To : Links)
    To->close();
}

} // namespace coltsfoot
