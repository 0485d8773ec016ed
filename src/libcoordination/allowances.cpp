#include "allowances.h"

#include "allowancepool.h"
#include "coltsfoot_types.h"
#include "configstate.h"
#include "lenders.h"
#include "memberview.h"
#include "peerpool.h"
#include "randomgenerator.h"
#include "ticketissuer.h"
#include "timer.h"

#include "coltsfootpoint/log.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfoot {

namespace asio = boost::asio;

namespace {

/// How long a lender has to answer. A call waits for it.
constexpr Millis AnswerTimeout(250);
/// How long a lender that did not answer is not asked again.
constexpr Millis AskPause(500);
/// The least time that a refused caller is asked to wait.
constexpr Millis LeastRetryAfter(250);
constexpr Millis MostRetryAfter(5000);
/// How long the state of a team that nobody uses is kept.
constexpr Millis IdleRetention(60'000);
/// Bounds the numbers in messages of other nodes.
constexpr int MaxTokensAsked = 10'000;

} // namespace

class Allowances::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, const NodeContext &ThisNode, PeerPool &Peers,
       AllowanceTolerance Tolerance)
      : Context_(Context), NodeContext_(ThisNode), Peers_(Peers),
        Tolerance_(Tolerance), ChangedAt_(now()), TidiedAt_(now()) {}

  void take(const std::string &Team, const Handler &OnResult);
  void giveBack(const std::string &Team, const AllowanceHolder::Token &Unused);
  wire::AllowanceGrant answer(const wire::AllowanceAsk &Ask);
  void tick() {
    std::lock_guard<std::mutex> Lock(Mutex_);
    updateView();
    tidy(now());
  }
  Figures figures() const;
  void stop() { Stopped_ = true; }

private:
  /// What a node keeps of a team whose calls enter here.
  struct Borrower {
    AllowanceHolder Holder_;
    std::deque<Handler> Waiting_;
    bool Asking_ = false;
    Millis AskAgainAt_; ///< Set after a lender did not answer.
    bool LenderLost_ = false;
  };

  /// A question to a lender that has not been answered.
  struct Question {
    Question(asio::io_context &Context) : Timer_(Context) {}
    std::string Team_;
    std::string Lender_;
    int64_t Number_ = 0;
    int Needed_ = 0;
    Millis AskedAt_;
    bool Redirected_ = false; ///< Another node named this lender.
    std::atomic<bool> Ended_ = false;
    asio::steady_timer Timer_;
  };

  /// Handlers with their results, to be called without the mutex.
  using Due = std::vector<std::pair<Handler, Result>>;

  Millis now() const { return NodeContext_.Clock_->sinceBoot(); }
  AllowanceLimits limitsOf(const std::string &Team) const;
  // Called with the mutex held.
  void updateView();
  const std::string &lender(const std::string &Team);
  void tidy(Millis Now);
  Result ownResult(Borrower &Of, const AllowanceLimits &Limits, Millis Now);
  void refuseFirst(Borrower &Of, int Count, Millis RetryAfter, Due &Ended);
  void grantWaiting(Borrower &Of, Due &Ended, Millis Now);
  void useOwnShare(Borrower &Of, const std::string &Team, Due &Ended);
  void noteLender(Borrower &Of, const Question &Asked, bool Lost) const;
  // Called without it.
  void ask(const std::string &Team, const std::string &Lender = {});
  void send(const std::shared_ptr<Question> &Asked, int Wanted);
  void onGrant(Question &Asked, const wire::AllowanceGrant &Grant);
  void onLost(Question &Asked);
  static void callAll(const Due &Ended);

  asio::io_context &Context_;
  const NodeContext NodeContext_;
  PeerPool &Peers_;
  const AllowanceTolerance Tolerance_;
  std::atomic<bool> Stopped_ = false;

  mutable std::mutex Mutex_; // guards the members below
  std::unordered_map<std::string, Borrower> Borrowers_;
  std::unordered_map<std::string, AllowancePool> Pools_;
  std::unordered_map<std::string, std::string> Lenders_;
  std::shared_ptr<const MemberView> View_;
  uint64_t AliveHash_ = 0;
  LenderView LenderView_;
  Millis ChangedAt_;
  Millis TidiedAt_;
  Figures Figures_;
};

AllowanceLimits Allowances::Impl::limitsOf(const std::string &Team) const {
  auto Config = NodeContext_.Config_();
  const TeamResource *Found = Config->team(Team);
  return Found ? Found->Allowance_ : AllowanceLimits();
}

// Lenders are looked up once for each view of the membership. A pool of a team
// that has another lender now is dropped: if the team comes back, others have
// lent in the meantime.
void Allowances::Impl::updateView() {
  auto Latest = NodeContext_.Members_();
  if (View_ && Latest->version() == View_->version())
    return;
  View_ = std::move(Latest);
  uint64_t AliveHash = 0;
  LenderView Counted{0, 0, {}};
  for (const MemberPtr &Each : View_->all()) {
    const Member &Known = Each->Member_;
    Counted.Present_ += Known.State_ <= MemberState::Leaving ? 1 : 0;
    Counted.Lost_ += Known.State_ > MemberState::Leaving ? 1 : 0;
    if (Known.State_ == MemberState::Alive)
      AliveHash += stableHash(Known.Node_);
  }
  if (std::exchange(AliveHash_, AliveHash) != AliveHash) {
    ChangedAt_ = now();
    Lenders_.clear();
  }
  Counted.ChangedAt_ = ChangedAt_;
  LenderView_ = Counted;
  std::erase_if(Pools_, [this](const auto &Each) {
    return lender(Each.first) != NodeContext_.Node_;
  });
}

const std::string &Allowances::Impl::lender(const std::string &Team) {
  auto [Found, Added] = Lenders_.try_emplace(Team);
  if (Added)
    Found->second = lenderOf(*View_, Team);
  return Found->second;
}

void Allowances::Impl::tidy(Millis Now) {
  if (Now - TidiedAt_ < IdleRetention)
    return;
  TidiedAt_ = Now;
  std::erase_if(Borrowers_, [Now](const auto &Each) {
    const Borrower &Of = Each.second;
    return !Of.Asking_ && Of.Waiting_.empty() &&
           Now - Of.Holder_.lastUsed() > IdleRetention;
  });
  std::erase_if(Pools_, [Now](const auto &Each) {
    return Now - Each.second.lastUsed() > IdleRetention;
  });
  Lenders_.clear();
}

void Allowances::Impl::callAll(const Due &Ended) {
  for (const auto &[OnResult, Outcome] : Ended)
    OnResult(Outcome);
}

/// Returns the result of a call while no lender answers.
Allowances::Result Allowances::Impl::ownResult(Borrower &Of,
                                               const AllowanceLimits &Limits,
                                               Millis Now) {
  int Nodes = std::max(1, LenderView_.Present_ + LenderView_.Lost_);
  double Share = Limits.RatePerS_ * Tolerance_.ownShare() / Nodes;
  if (Of.Holder_.takeOwn(Share, Now, threadRandomGenerator())) {
    ++Figures_.Own_;
    return {true, {}, {}};
  }
  ++Figures_.Refused_;
  return {false, {}, AskPause};
}

void Allowances::Impl::take(const std::string &Team, const Handler &OnResult) {
  AllowanceLimits Limits = limitsOf(Team);
  if (Limits.RatePerS_ <= 0)
    return OnResult({true, {}, {}});
  std::optional<Result> Immediate;
  bool MustAsk = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Millis Now = now();
    updateView();
    Borrower &Of = Borrowers_[Team];
    AllowanceHolder::Token Taken;
    if (Of.Holder_.take(Taken, Now)) {
      ++Figures_.Granted_;
      Immediate = Result{true, Taken, {}};
    } else if (Now < Of.AskAgainAt_ || Stopped_) {
      Immediate = ownResult(Of, Limits, Now);
    } else {
      Of.Waiting_.push_back(OnResult);
      MustAsk = !std::exchange(Of.Asking_, true);
    }
  }
  if (MustAsk)
    ask(Team);
  if (Immediate)
    OnResult(*Immediate);
}

void Allowances::Impl::giveBack(const std::string &Team,
                                const AllowanceHolder::Token &Unused) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Found = Borrowers_.find(Team);
  if (Found != Borrowers_.end())
    Found->second.Holder_.giveBack(Unused, now());
}

/// Asks the lender of a team, or the given node. The borrower is marked as
/// asking.
void Allowances::Impl::ask(const std::string &Team, const std::string &Lender) {
  auto Asked = std::make_shared<Question>(Context_);
  int Wanted = 0;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    updateView();
    Borrower &Of = Borrowers_[Team];
    Asked->Team_ = Team;
    Asked->Redirected_ = !Lender.empty();
    Asked->Lender_ = Lender.empty() ? lender(Team) : Lender;
    Asked->AskedAt_ = now();
    Asked->Needed_ = static_cast<int>(Of.Waiting_.size());
    Wanted = Of.Holder_.wanted(Asked->AskedAt_);
  }
  if (Asked->Lender_.empty())
    return onLost(*Asked);
  send(Asked, Wanted);
}

void Allowances::Impl::send(const std::shared_ptr<Question> &Asked,
                            int Wanted) {
  wire::AllowanceAsk Content;
  Content.team = Asked->Team_;
  Content.needed = Asked->Needed_;
  Content.wanted = Wanted;
  if (Asked->Lender_ == NodeContext_.Node_)
    return onGrant(*Asked, answer(Content));
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ++Figures_.Asked_;
  }
  Asked->Number_ = Peers_.reserve();
  Asked->Timer_.expires_after(toChrono(AnswerTimeout));
  Asked->Timer_.async_wait([Self = shared_from_this(),
                            Asked](const boost::system::error_code &Error) {
    if (Error || Asked->Ended_.exchange(true))
      return;
    Self->Peers_.forget(Asked->Lender_, Asked->Number_, false);
    Self->onLost(*Asked);
  });
  wire::Frame Message;
  Message.__set_allowance_ask(Content);
  Peers_.call(Asked->Lender_, Asked->Number_, std::move(Message), {},
              [Self = shared_from_this(), Asked](const PeerResult &Answered) {
                if (Asked->Ended_.exchange(true))
                  return;
                asio::post(Self->Context_, [Asked] { Asked->Timer_.cancel(); });
                const auto *Frame =
                    std::get_if<std::shared_ptr<const wire::Frame>>(&Answered);
                if (Frame && (*Frame)->__isset.allowance_grant)
                  Self->onGrant(*Asked, (*Frame)->allowance_grant);
                else
                  Self->onLost(*Asked);
              });
}

void Allowances::Impl::grantWaiting(Borrower &Of, Due &Ended, Millis Now) {
  AllowanceHolder::Token Taken;
  while (!Of.Waiting_.empty() && Of.Holder_.take(Taken, Now)) {
    ++Figures_.Granted_;
    Ended.emplace_back(std::move(Of.Waiting_.front()), Result{true, Taken, {}});
    Of.Waiting_.pop_front();
  }
}

/// Refuses the calls that have waited longest. Each is told to come back later
/// than the one before it, as there will be one more token each time.
void Allowances::Impl::refuseFirst(Borrower &Of, int Count, Millis RetryAfter,
                                   Due &Ended) {
  Millis Wait = LeastRetryAfter;
  for (int I = 0; I < Count && !Of.Waiting_.empty(); ++I) {
    Wait = std::min(Wait + RetryAfter, MostRetryAfter);
    ++Figures_.Refused_;
    Ended.emplace_back(std::move(Of.Waiting_.front()), Result{false, {}, Wait});
    Of.Waiting_.pop_front();
  }
}

void Allowances::Impl::useOwnShare(Borrower &Of, const std::string &Team,
                                   Due &Ended) {
  Millis Now = now();
  AllowanceLimits Limits = limitsOf(Team);
  while (!Of.Waiting_.empty()) {
    Ended.emplace_back(std::move(Of.Waiting_.front()),
                       ownResult(Of, Limits, Now));
    Of.Waiting_.pop_front();
  }
}

void Allowances::Impl::noteLender(Borrower &Of, const Question &Asked,
                                  bool Lost) const {
  if (std::exchange(Of.LenderLost_, Lost) == Lost)
    return;
  logEvent(LogLevel::Info, Lost ? "lender_lost" : "lender_regained",
           {{"team", Asked.Team_},
            {"lender", Asked.Lender_},
            {"request_ms", (now() - Asked.AskedAt_).whole()}});
}

// Calls that came after the question was sent are not refused by its answer,
// but asked for once more.
void Allowances::Impl::onGrant(Question &Asked,
                               const wire::AllowanceGrant &Grant) {
  bool Redirect = !Grant.lender.empty() && !Asked.Redirected_;
  if (Redirect)
    return ask(Asked.Team_, Grant.lender);
  if (!Grant.known || !Grant.lender.empty())
    return onLost(Asked);
  Due Ended;
  bool AskAgain = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Millis Now = now();
    Borrower &Of = Borrowers_[Asked.Team_];
    noteLender(Of, Asked, false);
    Of.Holder_.add(std::clamp(Grant.tokens, 0, MaxTokensAsked),
                   Asked.AskedAt_ + Tolerance_.tokenLife(), Now);
    size_t Before = Of.Waiting_.size();
    grantWaiting(Of, Ended, Now);
    int Granted = static_cast<int>(Before - Of.Waiting_.size());
    Millis RetryAfter(std::max(0, Grant.retry_after_ms));
    refuseFirst(Of, Asked.Needed_ - Granted, RetryAfter, Ended);
    AskAgain = !Of.Waiting_.empty();
    Of.Asking_ = AskAgain;
  }
  callAll(Ended);
  if (AskAgain)
    ask(Asked.Team_);
}

void Allowances::Impl::onLost(Question &Asked) {
  Due Ended;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Borrower &Of = Borrowers_[Asked.Team_];
    noteLender(Of, Asked, true);
    ++Figures_.Unanswered_;
    Of.Asking_ = false;
    Of.AskAgainAt_ = now() + AskPause;
    useOwnShare(Of, Asked.Team_, Ended);
  }
  callAll(Ended);
}

wire::AllowanceGrant Allowances::Impl::answer(const wire::AllowanceAsk &Ask) {
  wire::AllowanceGrant Grant;
  Grant.sequence = Ask.sequence;
  AllowanceLimits Limits = limitsOf(Ask.team);
  std::lock_guard<std::mutex> Lock(Mutex_);
  Millis Now = now();
  updateView();
  const std::string &Lender = lender(Ask.team);
  if (Lender != NodeContext_.Node_) {
    Grant.lender = Lender;
    return Grant;
  }
  if (Limits.RatePerS_ <= 0)
    return Grant;
  Grant.known = true;
  AllowancePool &Pool =
      Pools_.try_emplace(Ask.team, Limits, LenderView_, Now).first->second;
  Pool.setLimits(Limits, LenderView_, Now);
  int Needed = std::clamp(Ask.needed, 0, MaxTokensAsked);
  Grant.tokens = Pool.lend(Needed, std::clamp(Ask.wanted, 0, MaxTokensAsked),
                           LenderView_, Now);
  Figures_.Lent_ += static_cast<uint64_t>(Grant.tokens);
  if (Grant.tokens < Needed)
    Grant.retry_after_ms =
        static_cast<int32_t>(
            std::min(Pool.untilNext(LenderView_), MostRetryAfter).whole()) +
        1;
  return Grant;
}

Allowances::Figures Allowances::Impl::figures() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Figures_;
}

Allowances::Allowances(asio::io_context &Context, const NodeContext &ThisNode,
                       PeerPool &Peers, AllowanceTolerance Tolerance)
    : Impl_(std::make_shared<Impl>(Context, ThisNode, Peers, Tolerance)) {}

Allowances::~Allowances() = default;

void Allowances::take(const std::string &Team, const Handler &OnResult) {
  Impl_->take(Team, OnResult);
}
void Allowances::giveBack(const std::string &Team,
                          const AllowanceHolder::Token &Unused) {
  Impl_->giveBack(Team, Unused);
}
wire::AllowanceGrant Allowances::answer(const wire::AllowanceAsk &Ask) {
  return Impl_->answer(Ask);
}
void Allowances::tick() { Impl_->tick(); }
Allowances::Figures Allowances::figures() const { return Impl_->figures(); }
void Allowances::stop() { Impl_->stop(); }

} // namespace coltsfoot
