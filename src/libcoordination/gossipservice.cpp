#include "gossipservice.h"

#include "coltsfootpoint/log.h"
#include "udpsocket.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <mutex>

namespace coltsfoot {

namespace {

constexpr std::chrono::milliseconds TickInterval(50);
constexpr Millis PublishInterval = Millis(20);
constexpr Millis HintPublishInterval = Millis(1000);
/// The time between snapshots is at least the time to build one multiplied by
/// this, which limits their share of the strand's time.
constexpr double PublishCostFactor = 50;

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

} // namespace

class GossipService::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Context, const Clock &Time,
       GossipOptions Options, Member Self, std::string_view BindAddress,
       uint64_t Seed)
      : Strand_(boost::asio::make_strand(Context)), Time_(Time),
        Gossip_(std::move(Options), std::move(Self), Time, Seed),
        Socket_(Strand_, BindAddress), Timer_(Strand_), PublishTimer_(Strand_),
        Address_(Socket_.localAddress()) {
    publishView();
  }

  /// Posts a step to the strand. The events that it causes are delivered right
  /// after it.
  template <typename F> void postStep(F Step) {
    boost::asio::post(
        Strand_, [Self = shared_from_this(), Step = std::move(Step)]() mutable {
          Self->runStep([&] { Step(*Self); });
        });
  }

  void start(GossipCallbacks Callbacks) {
    postStep([Callbacks = std::move(Callbacks)](Impl &Self) mutable {
      if (Self.Stopped_)
        return;
      Self.Callbacks_ = std::move(Callbacks);
      Self.Socket_.start([Weak =
                              Self.weak_from_this()](std::string_view Bytes) {
        if (auto Held = Weak.lock())
          Held->runStep([&] { Held->sendAll(Held->Gossip_.receive(Bytes)); });
      });
      Self.tick();
    });
  }

  void stop() {
    postStep([](Impl &Self) {
      if (Self.Stopped_)
        return;
      Self.sendAll(Self.Gossip_.leave());
      Self.Stopped_ = true;
      Self.Timer_.cancel();
      Self.PublishTimer_.cancel();
      Self.Socket_.close();
    });
  }

  std::shared_ptr<const MemberView> view() const {
    std::lock_guard Lock(Mutex_);
    return View_;
  }

  GossipStatus status() const {
    std::lock_guard Lock(Mutex_);
    return Status_;
  }

  Gossip &gossip() { return Gossip_; }
  const std::string &address() const { return Address_; }

private:
  /// Runs a step and delivers its events. Logs exceptions, so that a malformed
  /// datagram or a failing callback does not stop the service.
  template <typename F> void runStep(F Step) {
    try {
      Step();
      deliverEvents();
    } catch (const std::exception &Error) {
      logEvent(LogLevel::Error, "gossip-failed", {{"error", Error.what()}});
    }
  }

  void tick() {
    Timer_.expires_after(TickInterval);
    Timer_.async_wait([Self = shared_from_this()](auto Error) {
      if (!Error && !Self->Stopped_)
        Self->runStep([&] { Self->tick(); });
    });
    sendAll(Gossip_.tick());
  }

  void sendAll(const std::vector<OutgoingDatagram> &Datagrams) {
    for (const OutgoingDatagram &Datagram : Datagrams)
      Socket_.send(Datagram.Node_, Datagram.Bytes_);
  }

  /// Publishes the view before it calls the callbacks, so that these usually
  /// find the change in the view.
  void deliverEvents() {
    publishWhenDue();
    if (!Callbacks_)
      return;
    GossipEvents Events = Gossip_.takeEvents();
    if (Callbacks_->OnMemberChange_)
      for (const MemberChange &Change : Events.Changes_)
        Callbacks_->OnMemberChange_(Change);
    if (Callbacks_->OnRecords_ && !Events.Records_.empty())
      Callbacks_->OnRecords_(Events.Records_);
    if (Callbacks_->OnPeerAhead_ && Events.PeerAhead_)
      Callbacks_->OnPeerAhead_(*Events.PeerAhead_);
  }

  void publishWhenDue() {
    Millis Now = Time_.now();
    const MemberTable &Table = Gossip_.table();
    bool Changed = Table.version() != PublishedVersion_;
    bool HintsChanged = Table.hintVersion() != PublishedHintVersion_ &&
                        Now - LastPublish_ >= HintPublishInterval;
    if (!Changed && !HintsChanged) {
      publishStatus();
      return;
    }
    if (Now >= NextPublish_) {
      publishView();
    } else if (!PublishPending_ && !Stopped_) {
      PublishPending_ = true;
      double WaitMs = (NextPublish_ - Now).count();
      PublishTimer_.expires_after(
          std::chrono::microseconds(int64_t(WaitMs * 1000) + 1));
      PublishTimer_.async_wait([Self = shared_from_this()](auto Error) {
        Self->PublishPending_ = false;
        if (!Error)
          Self->runStep([] {});
      });
    }
  }

  void publishView() {
    Millis Start = Time_.now();
    const MemberTable &Table = Gossip_.table();
    auto NewView = std::make_shared<const MemberView>(Table);
    PublishedVersion_ = Table.version();
    PublishedHintVersion_ = Table.hintVersion();
    {
      std::lock_guard Lock(Mutex_);
      View_.swap(NewView);
    }
    publishStatus();
    LastPublish_ = Time_.now();
    NextPublish_ =
        LastPublish_ +
        std::max(PublishInterval, (LastPublish_ - Start) * PublishCostFactor);
  }

  void publishStatus() {
    GossipStatus Status;
    Status.Counters_ = Gossip_.counters();
    Status.SendDrops_ = Socket_.dropped();
    Status.Synced_ = Gossip_.synced();
    Status.IsRelay_ = Gossip_.isRelay();
    Status.Silence_ = Gossip_.silence();
    std::lock_guard Lock(Mutex_);
    Status_ = Status;
  }

  Strand Strand_;
  const Clock &Time_;
  Gossip Gossip_;
  UdpSocket Socket_;
  boost::asio::steady_timer Timer_;
  boost::asio::steady_timer PublishTimer_;
  const std::string Address_;
  std::optional<GossipCallbacks> Callbacks_;
  bool Stopped_ = false;
  bool PublishPending_ = false;
  uint64_t PublishedVersion_ = 0;
  uint64_t PublishedHintVersion_ = 0;
  Millis LastPublish_;
  Millis NextPublish_;

  mutable std::mutex Mutex_; ///< Guards `View_` and `Status_`.
  std::shared_ptr<const MemberView> View_;
  GossipStatus Status_;
};

GossipService::GossipService(boost::asio::io_context &Context,
                             const Clock &Time, GossipOptions Options,
                             Member Self, std::string_view BindAddress,
                             uint64_t Seed)
    : Impl_(std::make_shared<Impl>(Context, Time, std::move(Options),
                                   std::move(Self), BindAddress, Seed)) {}

GossipService::~GossipService() { stop(); }

void GossipService::start(GossipCallbacks Callbacks) {
  Impl_->start(std::move(Callbacks));
}

void GossipService::stop() { Impl_->stop(); }

std::shared_ptr<const MemberView> GossipService::view() const {
  return Impl_->view();
}

GossipStatus GossipService::status() const { return Impl_->status(); }

std::string GossipService::localAddress() const { return Impl_->address(); }

void GossipService::addPeers(std::vector<std::string> Nodes) {
  Impl_->postStep([Nodes = std::move(Nodes)](Impl &Self) {
    Self.gossip().addPeers(Nodes);
  });
}

void GossipService::updateSelf(std::string Service, int Slots) {
  Impl_->postStep([Service = std::move(Service), Slots](Impl &Self) {
    Self.gossip().updateSelf(Service, Slots);
  });
}

void GossipService::setLeaving() {
  Impl_->postStep([](Impl &Self) { Self.gossip().setLeaving(); });
}

void GossipService::setAlive() {
  Impl_->postStep([](Impl &Self) { Self.gossip().setAlive(); });
}

void GossipService::setConfigOffset(int64_t Offset) {
  Impl_->postStep(
      [Offset](Impl &Self) { Self.gossip().setConfigOffset(Offset); });
}

void GossipService::spread(std::vector<GossipRecord> Records) {
  Impl_->postStep([Records = std::move(Records)](Impl &Self) {
    Self.gossip().spread(Records);
  });
}

} // namespace coltsfoot
