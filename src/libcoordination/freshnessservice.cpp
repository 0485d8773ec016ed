#include "freshnessservice.h"

#include "coltsfoot_types.h"
#include "configfreshness.h"
#include "configstate.h"
#include "memberview.h"
#include "peerpool.h"
#include "randomgenerator.h"
#include "ticketissuer.h"
#include "timer.h"

#include "coltsfootpoint/log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>

namespace coltsfoot {

namespace asio = boost::asio;

namespace {

/// Parts of the bound: up to where keys are taken, from where peers are asked,
/// and from where the source is asked.
constexpr double VerifiedShare = 0.9;
constexpr double AskPeersShare = 0.25;
constexpr double AskSourceShare = 0.5;
constexpr Millis TickInterval(200);
/// How long a peer has to answer before another one is asked.
constexpr Millis PeerTimeout(400);
/// How long the source has to answer before it is asked again.
constexpr Millis SourcePause(1000);

} // namespace

class FreshnessService::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, const NodeContext &ThisNode, PeerPool &Peers,
       Options Settings)
      : Options_(std::move(Settings)), NodeContext_(ThisNode), Peers_(Peers),
        Strand_(asio::make_strand(Context)), Timer_(Strand_) {}

  void start() {
    asio::post(Strand_, [Self = shared_from_this()] { Self->schedule(); });
  }

  void stop() {
    asio::post(Strand_, [Self = shared_from_this()] {
      Self->Stopped_ = true;
      Self->Timer_.cancel();
    });
  }

  void onEvidence(Millis AsOf, int64_t Newest) {
    int64_t InForce = inForce();
    std::lock_guard<std::mutex> Lock(Mutex_);
    Known_.onEvidence(AsOf, Newest, InForce);
  }

  int64_t inForce() const { return NodeContext_.Config_()->nextOffset(); }

  std::optional<Millis> age() const {
    int64_t InForce = inForce();
    Millis Now = now();
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Known_.age(InForce, Now);
  }

  bool hasBound() const { return Options_.RevokeWithin_ > Millis(); }

  bool keysVerified() const {
    if (!hasBound())
      return true;
    std::optional<Millis> Age = age();
    return Age && *Age <= Options_.RevokeWithin_ * VerifiedShare;
  }

private:
  Millis now() const { return NodeContext_.Clock_->sinceBoot(); }
  void schedule();
  void tick();
  void logBelief();
  void askPeer();
  std::string nextPeer();
  void onAnswer(const std::string &Peer, Millis AskedAt,
                const PeerResult &Answer);

  const Options Options_;
  const NodeContext NodeContext_;
  PeerPool &Peers_;
  const asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Timer_;
  bool Stopped_ = false;
  /// The peer that has not answered yet, and since when.
  std::string Asked_;
  Millis AskedAt_;
  int64_t AskedNumber_ = 0;
  /// Questions in a row that showed nothing new.
  size_t Failures_ = 0;
  std::optional<Millis> SourceAskedAt_;
  bool Verified_ = false;
  mutable std::mutex Mutex_; // guards Known_
  mutable ConfigFreshness Known_;
};

void FreshnessService::Impl::schedule() {
  if (Stopped_)
    return;
  Timer_.expires_after(toChrono(TickInterval));
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (Error)
          return;
        Self->schedule();
        Self->tick();
      });
}

// Nothing has to be shown while no configuration with teams is in force, but a
// node whose configuration is old may not know of the first team yet.
void FreshnessService::Impl::tick() {
  logBelief();
  std::optional<Millis> Age = age();
  Millis Now = now();
  Millis Bound = Options_.RevokeWithin_;
  if (Age && *Age < Bound * AskPeersShare) {
    Failures_ = 0;
    return;
  }
  if (Asked_.empty() || Now - AskedAt_ > PeerTimeout)
    askPeer();
  bool AskSource = (!Age || *Age > Bound * AskSourceShare) &&
                   (!SourceAskedAt_ || Now - *SourceAskedAt_ > SourcePause);
  if (!AskSource || !Options_.AskSource_)
    return;
  SourceAskedAt_ = Now;
  Options_.AskSource_();
}

void FreshnessService::Impl::logBelief() {
  bool Verified = keysVerified();
  if (std::exchange(Verified_, Verified) == Verified)
    return;
  std::optional<Millis> Age = age();
  logEvent(
      LogLevel::Info, Verified ? "keys_verified" : "keys_unverified",
      {{"age_ms", Age ? Age->whole() : int64_t{-1}}, {"version", inForce()}});
}

/// Returns a log reader other than this node: one of the own zone first, one of
/// another zone after each question that showed nothing new. Empty if there is
/// none.
std::string FreshnessService::Impl::nextPeer() {
  auto Members = NodeContext_.Members_();
  std::vector<std::string_view> Zones = Members->zones();
  size_t Random = threadRandomGenerator()();
  std::string_view Zone = NodeContext_.Zone_;
  if (Failures_ > 0 && !Zones.empty())
    Zone = Zones[Random % Zones.size()];
  std::vector<std::string> Found;
  for (const MemberPtr &Each : Members->logReadersOf(Zone))
    if (Each->Member_.Node_ != NodeContext_.Node_)
      Found.push_back(Each->Member_.Node_);
  if (Found.empty())
    return {};
  return Found[(Random / (Zones.size() + 1)) % Found.size()];
}

void FreshnessService::Impl::askPeer() {
  if (!Asked_.empty()) {
    Peers_.forget(Asked_, AskedNumber_, false);
    ++Failures_;
  }
  Asked_ = nextPeer();
  if (Asked_.empty()) {
    ++Failures_;
    return;
  }
  AskedAt_ = now();
  AskedNumber_ = Peers_.reserve();
  wire::Frame Message;
  Message.__set_freshness_fetch(wire::FreshnessFetch());
  Peers_.call(Asked_, AskedNumber_, std::move(Message), {},
              [Self = shared_from_this(), Peer = Asked_,
               AskedAt = AskedAt_](PeerResult Result) {
                asio::post(Self->Strand_,
                           [Self, Peer, AskedAt, Result = std::move(Result)] {
                             Self->onAnswer(Peer, AskedAt, Result);
                           });
              });
}

// The age is counted from when the question was sent, so that it includes all
// time in transit.
void FreshnessService::Impl::onAnswer(const std::string &Peer, Millis AskedAt,
                                      const PeerResult &Answer) {
  if (Asked_ == Peer && AskedAt_ == AskedAt)
    Asked_.clear();
  const auto *Frame = std::get_if<std::shared_ptr<const wire::Frame>>(&Answer);
  if (!Frame || !(*Frame)->__isset.freshness_batch ||
      (*Frame)->freshness_batch.age_ms < 0) {
    ++Failures_;
    return;
  }
  const wire::FreshnessBatch &Batch = (*Frame)->freshness_batch;
  onEvidence(AskedAt - Millis(static_cast<double>(Batch.age_ms)),
             Batch.version);
  std::optional<Millis> Age = age();
  bool Helped = Age && *Age < Options_.RevokeWithin_ * AskSourceShare;
  Failures_ = Helped ? 0 : Failures_ + 1;
}

FreshnessService::FreshnessService(asio::io_context &Context,
                                   const NodeContext &ThisNode, PeerPool &Peers,
                                   Options Settings)
    : Impl_(std::make_shared<Impl>(Context, ThisNode, Peers,
                                   std::move(Settings))) {}

FreshnessService::~FreshnessService() = default;

void FreshnessService::start() {
  if (Impl_->hasBound())
    Impl_->start();
}
void FreshnessService::stop() { Impl_->stop(); }
void FreshnessService::onSource(Millis AsOf, int64_t Newest) {
  Impl_->onEvidence(AsOf, Newest);
}

// The age is read before the version: if a version comes into force between the
// two, what is said about it is still true.
wire::FreshnessBatch
FreshnessService::answer(const wire::FreshnessFetch &Request) const {
  wire::FreshnessBatch Batch;
  Batch.sequence = Request.sequence;
  std::optional<Millis> Age = Impl_->age();
  Batch.version = Impl_->inForce();
  Batch.age_ms = Age ? std::max<int64_t>(0, Age->whole() + 1) : -1;
  return Batch;
}

bool FreshnessService::keysVerified() const { return Impl_->keysVerified(); }
std::optional<Millis> FreshnessService::age() const { return Impl_->age(); }

} // namespace coltsfoot
