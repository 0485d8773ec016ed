#include "entryrequestreader.h"

#include "attempttable.h"
#include "calldialect.h"
#include "configstate.h"
#include "drainadmission.h"
#include "entrythreshold.h"
#include "policy.h"
#include "randomgenerator.h"
#include "refusal.h"
#include "retrybudget.h"
#include "retrytoken.h"
#include "spenttokens.h"
#include "ticketissuer.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <stdexcept>

namespace coltsfoot {

namespace {

constexpr size_t MaxNameBytes = 128;
/// Under PolicyKind::None every hop has this many retries of its own, instead
/// of a share of the request's credits.
constexpr int RetriesPerHop = 3;
/// Larger than the order of any rank or route, so that the rank of a team goes
/// before that of a route.
constexpr int OrdersPerTeamRank = 128;
/// Where a call dialect is in use, nested calls take precedence over all root
/// calls.
constexpr int NestedRankOrder = 0;

std::string_view serviceOf(const HttpRequest &Request) {
  std::string_view Named = Request.field("Coltsfoot-Service");
  return Named.empty() ? hostLabel(Request.field("Host")) : Named;
}

/// Returns the value of a field that holds a positive number of milliseconds,
/// or nothing when the field is absent. Throws std::invalid_argument for any
/// other value.
std::optional<Millis> millisField(const HttpRequest &Request,
                                  std::string_view Name) {
  std::string_view Text = Request.field(Name);
  if (Text.empty())
    return {};
  int64_t Value = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      Value <= 0)
    throw std::invalid_argument(
        std::string(Name) +
        ": expected a positive whole number of milliseconds");
  return Millis(static_cast<double>(Value));
}

/// Picks one of the services among which the route's traffic is split, at
/// random in proportion to their weights.
const std::string &pickWeightedService(const HostRoute &Route,
                                       std::mt19937_64 &Random) {
  double Sum = 0;
  for (const TrafficShare &Each : Route.Shares_)
    Sum += Each.Weight_;
  double Point = std::uniform_real_distribution<double>(0, Sum)(Random);
  for (const TrafficShare &Each : Route.Shares_) {
    if (Point < Each.Weight_)
      return Each.Service_;
    Point -= Each.Weight_;
  }
  return Route.Shares_.back().Service_;
}

} // namespace

std::string_view hostLabel(std::string_view Host) {
  Host = Host.substr(0, Host.find(':'));
  std::string_view Label = Host.substr(0, Host.find('.'));
  bool Numeric =
      Label.find_first_not_of("0123456789[]") == std::string_view::npos;
  return Numeric ? std::string_view() : Label;
}

EntryRequestReader::EntryRequestReader(const EntryParts &Parts,
                                       SpentTokens &Spent,
                                       const HttpRequest &Incoming)
    : Parts_(Parts), Spent_(Spent), Incoming_(Incoming),
      Config_(Parts.NodeContext_.Config_()),
      Now_(Parts.NodeContext_.Clock_->now()) {}

EntryRequest EntryRequestReader::read() {
  try {
    readAll();
  } catch (Refusal &Refused) {
    returnCredits();
    // If the call repeats an earlier one, that one may have run, although
    // this one is refused.
    if (Refused.Scope_ == RefusalScope::ThisCall && mayBeRepetition() &&
        std::holds_alternative<NotRun>(Refused.Verdict_))
      Refused.Verdict_ = MayHaveRun{reasonOf(Refused.Verdict_)};
    throw;
  }
  return std::move(Request_);
}

CallRecord EntryRequestReader::recordOf(const Verdict &Outcome) const {
  return callRecord(Request_, Outcome, statusOf(Outcome),
                    Parts_.NodeContext_.Clock_->now() - Now_);
}

void EntryRequestReader::readAll() {
  if (Parts_.Dialect_)
    return readInDialect();
  Request_.RequestId_ = newRequestId();
  Reason Blocked = Parts_.RefusalReason_();
  if (Blocked != Reason::None)
    throw Refusal{NotRun{Blocked}};
  readRoute();
  std::string_view Context = Incoming_.field("Coltsfoot-Context");
  if (Context.empty())
    readRoot();
  else
    readNested(Context);
  if (Context.empty())
    readTeam(bearerKey(Incoming_.field("Authorization")), false);
  readDeadline();
  checkDrain();
  checkThresholds();
}

// Calls in a dialect carry no Coltsfoot-Context. A nested call is recognized by
// the id of its parent, which the backend server of this VM is running.
void EntryRequestReader::readInDialect() {
  CallMetadata Metadata;
  try {
    Metadata = Parts_.Dialect_->readCall(Incoming_);
  } catch (const std::invalid_argument &Error) {
    throw Refusal{NotRun{Reason::BadRequest}, Error.what()};
  }
  Request_.RequestId_ = Metadata.Id_.empty() ? newRequestId() : Metadata.Id_;
  Reason Blocked = Parts_.RefusalReason_();
  if (Blocked != Reason::None)
    throw Refusal{NotRun{Blocked}};
  readHostRoute(Metadata);
  Request_.Client_ = Incoming_.RemoteAddress_;
  Request_.Bucket_ = admissionBucketOf(Request_.RequestId_);
  readParent(Metadata);
  if (Request_.Depth_ == 0)
    readTeam(Metadata.Key_, !Metadata.ParentId_.empty());
  checkDrain();
  if (Request_.ParentRepeated_)
    Parts_.Budget_.charge(Request_.Service_, 1, Now_);
  else
    Parts_.Budget_.earn(Request_.Service_, Now_);
  checkThresholds();
  if (!Request_.Route_.Idempotent_)
    issueExclusiveTicket();
}

void EntryRequestReader::readHostRoute(const CallMetadata &Metadata) {
  const HostRoute *MatchedRoute =
      Config_->hostRoute(Metadata.Host_, Incoming_.Target_);
  if (!MatchedRoute)
    throw Refusal{NotRun{Parts_.missingRouteReason()},
                  "no route of host '" + Metadata.Host_ + "' matches the path"};
  Request_.Service_ =
      pickWeightedService(*MatchedRoute, threadRandomGenerator());
  Request_.Route_.Name_ = MatchedRoute->Name_;
  Request_.Route_.Kind_ = MatchedRoute->Name_;
  Request_.Route_.Idempotent_ = MatchedRoute->Idempotent_;
  Request_.Route_.Anonymous_ = MatchedRoute->Anonymous_;
  Request_.KeysInUse_ = Config_->hasTeams();
  Idempotent_ = MatchedRoute->Idempotent_;
  Request_.RankOrder_ = 1 + MatchedRoute->Order_;
  Request_.RootRankOrder_ = MatchedRoute->Order_;
  Request_.Credits_ = MatchedRoute->Attempts_ - 1;
  Request_.Objective_ = MatchedRoute->Objective_;
  Millis Timeout = MatchedRoute->Timeout_;
  if (Metadata.Remaining_)
    Timeout = std::min(Timeout, *Metadata.Remaining_);
  Request_.Deadline_ = Now_ + Timeout;
}

// The call is nested if its parent id names a call that the backend server of
// this VM is running. Work has already been done for its root call, which a
// refusal would waste, so a nested call takes precedence over all root calls.
void EntryRequestReader::readParent(const CallMetadata &Metadata) {
  if (Metadata.ParentId_.empty())
    return;
  auto Parent = Parts_.Attempts_.find(Metadata.ParentId_);
  if (!Parent)
    return;
  Request_.Depth_ = Parent->Depth_ + 1;
  Request_.RankOrder_ = NestedRankOrder;
  Request_.RootRankOrder_ = Parent->RootRankOrder_;
  Request_.ParentAttempt_ = Parent->AttemptKey_;
  Request_.ParentRoute_ = Parent->RouteKey_;
  Request_.ParentRepeated_ = Parent->Repeated_;
  Request_.Team_ = Parent->Team_;
  Request_.Client_ = Parent->Client_;
  Request_.Bucket_ = Parent->Bucket_;
  Request_.Deadline_ = std::min(Request_.Deadline_, Parent->Deadline_);
  Parts_.Attempts_.addCalledRoute(
      Metadata.ParentId_, routeKey(Request_.Service_, Request_.Route_.Name_));
}

// A backend server that makes a call after its own has ended has no key to
// send; it is told that the call can't be made now.
void EntryRequestReader::readTeam(std::string_view Key, bool NamesParent) {
  if (!Request_.KeysInUse_)
    return;
  if (Key.empty() && Request_.Route_.Anonymous_)
    return;
  if (Key.empty() && NamesParent)
    throw Refusal{NotRun{Reason::Cancelled}, "the call above it has ended"};
  if (Key.empty())
    throw Refusal{NotRun{Parts_.ConfigOutdated_() ? Reason::NotReady
                                                  : Reason::KeyMissing},
                  "the route needs a team's key"};
  Request_.Team_ = teamOfKey(Key);
  rankByTeam();
}

// A key may belong to a configuration that this node lacks, or may have been
// taken away by one.
std::string_view EntryRequestReader::teamOfKey(std::string_view Key) const {
  if (!Parts_.KeysVerified_())
    throw Refusal{NotRun{Reason::KeysUnverified},
                  "it is not known whether the configuration is the newest"};
  const TeamResource *Team = Config_->teamOfKey(KeyDigest::of(Key));
  if (!Team)
    throw Refusal{NotRun{Parts_.ConfigOutdated_() ? Reason::KeysUnverified
                                                  : Reason::KeyUnknown},
                  "no team has this key"};
  return Team->Name_;
}

// Without a dialect, gates rank a root call by its route alone, and the entry
// compares it with their thresholds.
void EntryRequestReader::rankByTeam() {
  if (!Parts_.Dialect_)
    return;
  const TeamResource *Team = Config_->team(Request_.Team_);
  Request_.RankOrder_ += OrdersPerTeamRank * Team->Order_;
}

void EntryRequestReader::issueExclusiveTicket() {
  auto NewTicket = Parts_.TicketIssuer_.issue(
      Request_.Service_, Request_.Route_.Name_, Request_.Client_);
  if (!NewTicket)
    throw Refusal{NotRun{Reason::NoUpstream}};
  setTicket(std::move(*NewTicket));
  Request_.ExclusiveTicket_ = true;
}

/// Returns whether the call may repeat one that was already sent to a gate: it
/// carries a ticket, or it is a nested step for which this node may have issued
/// one.
bool EntryRequestReader::mayBeRepetition() const {
  if (Idempotent_)
    return false;
  return !Incoming_.field("Coltsfoot-Ticket").empty() ||
         (!Incoming_.field("Coltsfoot-Context").empty() &&
          !Incoming_.field("Coltsfoot-Step").empty());
}

void EntryRequestReader::returnCredits() {
  if (!Request_.ParentKey_.empty())
    Parts_.Attempts_.endNested(Request_.ParentKey_, Request_.Credits_);
}

void EntryRequestReader::readRoute() {
  Request_.Service_ = serviceOf(Incoming_);
  if (Request_.Service_.empty())
    throw Refusal{
        NotRun{Reason::BadRequest},
        "no service: expected its name in Coltsfoot-Service or in Host"};
  const Route *MatchedRoute =
      Config_->route(Request_.Service_, Incoming_.Method_, Incoming_.Target_);
  if (!MatchedRoute)
    throw Refusal{NotRun{Parts_.missingRouteReason()},
                  "no route of service '" + Request_.Service_ +
                      "' matches the method and path"};
  Request_.Route_ = *MatchedRoute;
  Request_.KeysInUse_ = Config_->hasTeams();
  Idempotent_ = MatchedRoute->Idempotent_;
  Request_.RankOrder_ = Config_->rank(MatchedRoute->Rank_).Order_;
  Request_.Protected_ = MatchedRoute->Protected_;
}

void EntryRequestReader::readRoot() {
  std::string_view Client = Incoming_.field("Coltsfoot-Client");
  if (Client.size() > MaxNameBytes)
    throw Refusal{NotRun{Reason::BadRequest},
                  "Coltsfoot-Client is longer than 128 bytes"};
  Request_.Client_ =
      Client.empty() ? Incoming_.RemoteAddress_ : std::string(Client);
  Request_.Credits_ = Config_->retryPolicy(Request_.Service_).Credits_;
  if (Parts_.Policy_ == PolicyKind::None)
    Request_.Credits_ = RetriesPerHop;
  else if (Request_.Route_.Idempotent_)
    readRetryToken();
  if (!Request_.Route_.Idempotent_)
    readRootTicket();
  Request_.Bucket_ = admissionBucketOf(Request_.RequestId_);
}

void EntryRequestReader::readRetryToken() {
  std::string_view Text = Incoming_.field("Coltsfoot-Retry-Token");
  if (Text.empty())
    return;
  auto Token = openRetryToken(Text, Parts_.TicketIssuer_.keys());
  if (!Token || Token->Client_ != Request_.Client_ ||
      Token->Service_ != Request_.Service_ ||
      Token->Route_ != Request_.Route_.Name_)
    throw Refusal{NotRun{Reason::TicketInvalid},
                  "the retry token is not genuine or was issued for another "
                  "client, service or route"};
  if (Token->ExpiryWall_ <= Parts_.NodeContext_.Clock_->wallNow())
    throw Refusal{NotRun{Reason::TicketExpired}, "the retry token has expired"};
  // The retry itself is an extra attempt of the request and costs a credit.
  if (Token->Credits_ <= 0)
    throw Refusal{NotRun{Reason::BudgetSpent}, "no retry credit is left"};
  if (!Spent_.spend(*Token, Parts_.NodeContext_.Clock_->wallNow()))
    throw Refusal{NotRun{Reason::BudgetSpent},
                  "the retry token was used before"};
  RetryCredit_ = 1;
  Request_.RequestId_ = Token->RequestId_;
  Request_.Credits_ = Token->Credits_ - 1;
}

void EntryRequestReader::refuseWithNewTicket() {
  auto NewTicket = Parts_.TicketIssuer_.issue(
      Request_.Service_, Request_.Route_.Name_, Request_.Client_);
  if (!NewTicket)
    throw Refusal{NotRun{Reason::NoUpstream}};
  throw Refusal{
      NotRun{Reason::TicketNeeded},
      "the call is not idempotent: repeat the request with this ticket",
      {{"Coltsfoot-Ticket", *NewTicket}}};
}

void EntryRequestReader::setTicket(std::string Text) {
  Request_.Ticket_ = Parts_.TicketIssuer_.open(Text);
  Request_.TicketText_ = std::move(Text);
}

void EntryRequestReader::readRootTicket() {
  std::string_view Text = Incoming_.field("Coltsfoot-Ticket");
  if (Text.empty())
    refuseWithNewTicket();
  setTicket(std::string(Text));
  const auto &Opened = Request_.Ticket_;
  if (!Opened || Opened->Client_ != Request_.Client_ ||
      Opened->Service_ != Request_.Service_ ||
      Opened->Route_ != Request_.Route_.Name_)
    throw Refusal{NotRun{Reason::TicketInvalid},
                  "the ticket is not genuine or was issued for another client, "
                  "service or route",
                  {},
                  RefusalScope::EveryCall};
  // Repetitions share one request id, whichever node they enter through.
  Request_.RequestId_ = Opened->Serial_;
}

void EntryRequestReader::readNested(std::string_view Context) {
  auto Parent = Parts_.Attempts_.find(Context);
  // If this process has restarted since the context was issued, an earlier call
  // of the same step may have run.
  if (!Parent && Request_.Route_.Idempotent_)
    throw Refusal{NotRun{Reason::BadRequest},
                  "the context names no call that the backend server of this "
                  "node is running"};
  if (!Parent)
    throw Refusal{MayHaveRun{Reason::BadRequest},
                  "the context names no call that the backend server of this "
                  "node is running"};
  Request_.RequestId_ = Parent->RequestId_;
  Request_.Team_ = Parent->Team_;
  Request_.Client_ = Parent->Client_;
  Request_.Bucket_ = Parent->Bucket_;
  Request_.Depth_ = Parent->Depth_ + 1;
  Request_.RankOrder_ = std::min(Request_.RankOrder_, Parent->RankOrder_);
  Request_.Protected_ = Request_.Protected_ || Parent->Protected_;
  ParentDeadline_ = Parent->Deadline_;
  std::string Step(Incoming_.field("Coltsfoot-Step"));
  if (Step.size() > MaxNameBytes)
    throw Refusal{NotRun{Reason::BadRequest},
                  "Coltsfoot-Step is longer than 128 bytes",
                  {},
                  RefusalScope::EveryCall};
  if (!Request_.Route_.Idempotent_)
    readStepTicket(*Parent);
  if (Step.empty())
    Step = Incoming_.Method_ + " " + Incoming_.Target_;
  Request_.ParentKey_ = Context;
  if (Parts_.Policy_ == PolicyKind::None) {
    Request_.Credits_ = RetriesPerHop;
    return;
  }
  NestedStartResult Start =
      Parts_.Attempts_.startNested(Context, Request_.Service_ + " " + Step);
  if (const auto *Refused = std::get_if<NestedRefused>(&Start))
    throw Refusal{Request_.Ticket_ ? Verdict(MayHaveRun{Refused->Reason_})
                                   : Verdict(NotRun{Refused->Reason_})};
  Request_.Credits_ = std::get<NestedGranted>(Start).Credits_;
  Parts_.Attempts_.addCalledRoute(
      Context, routeKey(Request_.Service_, Request_.Route_.Name_));
}

void EntryRequestReader::readStepTicket(const ParentCall &Parent) {
  // An idempotent call may be retried on other gates, where this step would get
  // another ticket and could run twice. Therefore an idempotent call must not
  // make non-idempotent nested calls.
  if (Parent.Idempotent_)
    throw Refusal{
        NotRun{Reason::BadRequest},
        "an idempotent call must not make a non-idempotent nested call",
        {},
        RefusalScope::EveryCall};
  std::string_view Step = Incoming_.field("Coltsfoot-Step");
  if (Step.empty())
    throw Refusal{
        NotRun{Reason::BadRequest},
        "a non-idempotent nested call needs a step name in Coltsfoot-Step"};
  std::string Key = Request_.Service_ + " " + std::string(Step);
  auto StepTicket = Parts_.Attempts_.stepTicket(Parent.AttemptKey_, Key);
  if (!StepTicket) {
    auto NewTicket = Parts_.TicketIssuer_.issue(
        Request_.Service_, Request_.Route_.Name_, Request_.Client_);
    // While the parent is open, a step without a ticket has never been sent to
    // a gate.
    if (!NewTicket && Parts_.Attempts_.find(Parent.AttemptKey_))
      throw Refusal{
          NotRun{Reason::NoUpstream}, {}, {}, RefusalScope::EveryCall};
    if (!NewTicket)
      throw Refusal{NotRun{Reason::Cancelled}};
    StepTicket = Parts_.Attempts_.setStepTicketIfAbsent(Parent.AttemptKey_, Key,
                                                        *NewTicket);
    if (StepTicket->empty())
      throw Refusal{NotRun{Reason::Cancelled}};
  }
  setTicket(*StepTicket);
  if (Request_.Ticket_->Route_ != Request_.Route_.Name_)
    throw Refusal{NotRun{Reason::TicketBodyMismatch},
                  "the step name was used for another route before",
                  {},
                  RefusalScope::EveryCall};
  Request_.StepKey_ = Key;
}

void EntryRequestReader::readDeadline() {
  Millis Timeout = Request_.Route_.Deadline_;
  try {
    if (auto Requested = millisField(Incoming_, "Coltsfoot-Deadline-Ms"))
      Timeout = std::min(Timeout, *Requested);
  } catch (const std::invalid_argument &Error) {
    throw Refusal{NotRun{Reason::BadRequest}, Error.what()};
  }
  Request_.Deadline_ = std::min(Now_ + Timeout, ParentDeadline_);
}

// A draining node refuses what it may not finish. A ticket of the caller's may
// have been used at another node before, so only its candidates can tell that
// the call has not run and never will; they are asked to close it.
void EntryRequestReader::checkDrain() {
  bool Nested = Request_.Depth_ > 0;
  if (Parts_.Drain_.takes(routeKey(Request_.Service_, Request_.Route_.Name_),
                          Request_.Deadline_,
                          Nested ? DrainRole::Nested : DrainRole::Plain))
    return;
  if (Request_.Ticket_ && !Nested)
    Request_.CloseTicket_ = true;
  else
    refuseUnsent(Reason::Leaving, "the node is draining");
}

/// Refuses a call that was not sent to any gate. An idempotent root call gets a
/// retry token with all credits that it came with.
void EntryRequestReader::refuseUnsent(Reason Why, std::string Detail) {
  Refusal Refused{NotRun{Why}, std::move(Detail), {}};
  if (Request_.ParentKey_.empty() && !Request_.Ticket_)
    Refused.Fields_.push_back(
        retryTokenField(Request_, Request_.Credits_ + RetryCredit_, Parts_));
  throw Refused;
}

void EntryRequestReader::checkThresholds() {
  if (Parts_.Policy_ != PolicyKind::Adaptive || Request_.Ticket_)
    return;
  ThresholdQuery Query;
  Query.Service_ = Request_.Service_;
  std::string Key = routeKey(Request_.Service_, Request_.Route_.Name_);
  Query.Route_ = Key;
  Query.Kind_ = Request_.Route_.Kind_;
  Query.RankOrder_ = Request_.RankOrder_;
  if (Parts_.Dialect_)
    Query.PathRankOrder_ = NestedRankOrder;
  Query.Bucket_ = Request_.Bucket_;
  Query.Protected_ = Request_.Protected_;
  Query.RankFloor_ = Config_->rank(Request_.Route_.Rank_).Floor_;
  Query.GateCount_ =
      static_cast<int>(Parts_.TicketIssuer_.gatesOf(Request_.Service_)->size());
  if (!Parts_.Thresholds_.wouldRefuse(Query, Now_, threadRandomGenerator()))
    return;
  refuseUnsent(Reason::Overload, "refused by the entry's admission threshold");
}

} // namespace coltsfoot
