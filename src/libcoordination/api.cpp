#include "api.h"

#include "configstate.h"
#include "fleetquery.h"
#include "gate.h"
#include "gossipservice.h"
#include "memberview.h"
#include "nodemetrics.h"
#include "refusal.h"
#include "requestledger.h"

#include "coltsfootpoint/burn.h"
#include "coltsfootpoint/burnrecorder.h"
#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/ipport.h"
#include "coltsfootpoint/log.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <set>

namespace coltsfoot {

namespace json = boost::json;

namespace {

std::vector<std::string> splitPath(std::string_view Path) {
  std::vector<std::string> Segments;
  while (!Path.empty()) {
    Path.remove_prefix(Path.front() == '/' ? 1 : 0);
    std::string_view Segment = Path.substr(0, Path.find('/'));
    Path.remove_prefix(Segment.size());
    if (!Segment.empty())
      Segments.emplace_back(Segment);
  }
  return Segments;
}

/// Returns the time of a hop as another node wrote it, or 0 when it has none.
int64_t hopTime(const json::value &Hop) {
  const json::value *Time = Hop.as_object().if_contains("time_ms");
  boost::system::error_code Failure;
  int64_t TimeMs = Time ? Time->to_number<int64_t>(Failure) : 0;
  return Failure ? 0 : TimeMs;
}

/// Thrown for a field of a JSON object that is not as expected.
struct FieldError : std::invalid_argument {
  FieldError(std::string Field, const std::string &Expected)
      : std::invalid_argument(Field + ": expected " + Expected),
        Field_(std::move(Field)) {}
  std::string Field_;
};

std::string textField(const json::object &Body, const char *Name) {
  const json::value *Value = Body.if_contains(Name);
  if (!Value || !Value->is_string() || Value->as_string().empty())
    throw FieldError(Name, "a non-empty string");
  return std::string(Value->as_string());
}

int countField(const json::object &Body, const char *Name) {
  constexpr int64_t MaxCount = 1'000'000;
  const json::value *Value = Body.if_contains(Name);
  if (!Value || !Value->is_int64() || Value->as_int64() < 1 ||
      Value->as_int64() > MaxCount)
    throw FieldError(Name, "an integer from 1 to 1000000");
  return static_cast<int>(Value->as_int64());
}

Announcement::State stateField(const json::object &Body) {
  std::string Name = textField(Body, "state");
  if (Name == "starting")
    return Announcement::State::Starting;
  if (Name == "serving")
    return Announcement::State::Serving;
  if (Name == "leaving")
    return Announcement::State::Leaving;
  throw FieldError("state", "starting, serving or leaving");
}

Announcement parseAnnouncement(const std::string &Text) {
  static const std::set<std::string_view> KnownKeys = {
      "service", "address", "slots", "connections", "shed_means_not_run",
      "state"};
  boost::system::error_code Failure;
  json::value Parsed = json::parse(Text, Failure);
  if (Failure || !Parsed.is_object())
    throw FieldError("", "a JSON object");
  const json::object &Body = Parsed.as_object();
  for (const auto &Entry : Body)
    if (!KnownKeys.contains(std::string_view(Entry.key())))
      throw FieldError(std::string(Entry.key()),
                       "one of the keys service, address, slots, connections, "
                       "shed_means_not_run and state");
  Announcement NewAnnouncement;
  NewAnnouncement.Service_ = textField(Body, "service");
  auto Address = parseIpPort(textField(Body, "address"));
  if (!Address)
    throw FieldError("address", "ip:port");
  NewAnnouncement.Address_ = {boost::asio::ip::make_address(Address->Ip_),
                              Address->Port_};
  NewAnnouncement.Slots_ = countField(Body, "slots");
  NewAnnouncement.Connections_ = countField(Body, "connections");
  const json::value *Shed = Body.if_contains("shed_means_not_run");
  if (Shed && !Shed->is_bool())
    throw FieldError("shed_means_not_run", "true or false");
  NewAnnouncement.ShedMeansNotRun_ = Shed && Shed->as_bool();
  NewAnnouncement.State_ = stateField(Body);
  return NewAnnouncement;
}

json::object memberJson(const Member &FleetMember) {
  json::object Out;
  Out["node"] = FleetMember.Node_;
  Out["zone"] = FleetMember.Zone_;
  Out["region"] = FleetMember.Region_;
  Out["service"] = FleetMember.Service_;
  Out["state"] = memberStateName(FleetMember.State_);
  Out["slots"] = FleetMember.Slots_;
  Out["config_offset"] = FleetMember.ConfigOffset_;
  return Out;
}

} // namespace

class Api::Impl {
public:
  explicit Impl(ApiParts Parts)
      : Parts_(std::move(Parts)),
        Metrics_(Parts_.Config_, Parts_.Gate_, Parts_.Gossip_),
        Resources_(Parts_.Config_, [this] { return Parts_.Gossip_.view(); }) {
    Metrics_.addDrainGauges("entry", Parts_.EntryDrain_);
    Metrics_.addDrainGauges("gate", Parts_.GateDrain_);
    Metrics_.addReceiveGauges("caller", Parts_.CallerBudget_);
    Metrics_.addReceiveGauges("backend", Parts_.BackendBudget_);
    Metrics_.addReceiveGauges("peer", Parts_.PeerBudget_);
    Metrics_.addLagGauges(Parts_.Loop_);
    Metrics_.addTeamGauges(Parts_.Allowances_, Parts_.Freshness_);
  }

  void handle(const HttpExchange::Pointer &Exchange);
  std::string localStatus(std::string_view QueryKind,
                          std::string_view Argument);
  void showListener(std::string_view Port, const HttpServer &Server) {
    Metrics_.addListenerGauges(Port, Server);
  }
  void record(const CallRecord &Ended);
  void recordRetry(const RetryRecord &Asked) { Metrics_.recordRetry(Asked); }
  void recordLag(Millis Lag) { Metrics_.recordLag(Lag); }
  void endWatches() { Resources_.endWatches(); }

private:
  bool handleUnauthenticated(const HttpExchange::Pointer &Exchange,
                             std::string_view Path);
  void handleOperator(const HttpExchange::Pointer &Exchange,
                      const std::vector<std::string> &Path,
                      std::string_view Query);
  bool isOperator(const HttpRequest &Request) const;
  void announce(const HttpExchange::Pointer &Exchange);
  void showHealth(const HttpExchange::Pointer &Exchange);
  void showNodes(const HttpExchange::Pointer &Exchange);
  void explain(const HttpExchange::Pointer &Exchange, const std::string &Id);
  void setLevel(const HttpExchange::Pointer &Exchange);
  std::string statusJson();
  std::string explainJson(std::string_view Id);
  void showBurn(const HttpExchange::Pointer &Exchange);

  ApiParts Parts_;
  BurnRecorder Burn_;
  NodeMetrics Metrics_;
  ResourceApi Resources_;
};

void Api::Impl::handle(const HttpExchange::Pointer &Exchange) {
  std::string_view Target = Exchange->request().Target_;
  std::string_view Path = Target.substr(0, Target.find('?'));
  std::string_view Query;
  if (Path.size() < Target.size())
    Query = Target.substr(Path.size() + 1);
  if (handleUnauthenticated(Exchange, Path))
    return;
  std::vector<std::string> Segments = splitPath(Path);
  if (Segments.size() < 2 || Segments[0] != "v1")
    return Exchange->respond(refusalAnswer(
        NotRun{Reason::BadRequest}, "",
        "no service: expected its name in Coltsfoot-Service or in Host"));
  if (!isOperator(Exchange->request()))
    return Exchange->respond(errorAnswer(
        401, "the operator token in Authorization is missing or wrong"));
  Segments.erase(Segments.begin());
  handleOperator(Exchange, Segments, Query);
}

bool Api::Impl::isOperator(const HttpRequest &Request) const {
  constexpr std::string_view Scheme = "Bearer ";
  std::string_view Field = Request.field("Authorization");
  return Field.starts_with(Scheme) &&
         Parts_.OperatorToken_.equals(Field.substr(Scheme.size()));
}

bool Api::Impl::handleUnauthenticated(const HttpExchange::Pointer &Exchange,
                                      std::string_view Path) {
  const std::string &Method = Exchange->request().Method_;
  if (Path == "/healthz" && Method == "GET")
    showHealth(Exchange);
  else if (Path == "/metrics" && Method == "GET")
    Exchange->respond(Answer{
        200, {{"Content-Type", "text/plain; version=0.0.4"}}, Metrics_.text()});
  else if (Path == "/v1/tickets" && Method == "POST")
    Parts_.Entry_.issueTicket(Exchange);
  else if (Path == "/v1/announcement" && Method == "PUT")
    announce(Exchange);
  else
    return false;
  return true;
}

void Api::Impl::handleOperator(const HttpExchange::Pointer &Exchange,
                               const std::vector<std::string> &Path,
                               std::string_view Query) {
  const std::string &Method = Exchange->request().Method_;
  if (Resources_.handle(Exchange, Path, Query))
    return;
  if (Path[0] == "nodes" && Method == "GET")
    showNodes(Exchange);
  else if (Path[0] == "status" && Method == "GET")
    Exchange->respond(jsonAnswer(200, statusJson()));
  else if (Path[0] == "explain" && Path.size() == 2 && Method == "GET")
    explain(Exchange, Path[1]);
  else if (Path[0] == "burn" && Method == "GET")
    showBurn(Exchange);
  else if (Path[0] == "log-level" && Method == "PUT")
    setLevel(Exchange);
  else if (Path[0] == "drain" && Method == "POST") {
    Exchange->respond(jsonAnswer(202, R"({"state":"draining"})"));
    Parts_.Drain_();
  } else
    Exchange->respond(errorAnswer(404, "no such path or method"));
}

void Api::Impl::announce(const HttpExchange::Pointer &Exchange) {
  try {
    Announcement NewAnnouncement = parseAnnouncement(Exchange->request().Body_);
    Millis Lease = Parts_.Gate_.announce(std::move(NewAnnouncement));
    json::object Out;
    Out["lease_ms"] = Lease.whole();
    Exchange->respond(jsonAnswer(200, json::serialize(Out)));
  } catch (const FieldError &Error) {
    Exchange->respond(errorAnswer(422, Error.what(), Error.Field_));
  }
}

void Api::Impl::showHealth(const HttpExchange::Pointer &Exchange) {
  std::string State = Parts_.State_();
  bool Serving = State == "serving" && !Parts_.Isolated_();
  json::object Out;
  Out["state"] = State;
  Out["isolated"] = Parts_.Isolated_();
  Exchange->respond(jsonAnswer(Serving ? 200 : 503, json::serialize(Out)));
}

void Api::Impl::showNodes(const HttpExchange::Pointer &Exchange) {
  json::array Nodes;
  auto CurrentMembers = Parts_.Gossip_.view();
  for (const auto &Node : CurrentMembers->all())
    Nodes.push_back(memberJson(Node->Member_));
  json::object Out;
  Out["nodes"] = std::move(Nodes);
  Exchange->respond(jsonAnswer(200, json::serialize(Out)));
}

std::string Api::Impl::statusJson() {
  Gate::Figures Gate = Parts_.Gate_.figures();
  GossipStatus Gossip = Parts_.Gossip_.status();
  json::object Out;
  Out["node"] = Parts_.Node_;
  Out["state"] = Parts_.State_();
  Out["isolated"] = Parts_.Isolated_();
  Out["config_offset"] = Parts_.Config_.current()->nextOffset();
  Out["config_ready"] = Parts_.Config_.ready();
  Out["members"] = Parts_.Gossip_.view()->presentCount();
  Out["members_synced"] = Gossip.Synced_;
  Out["relay"] = Gossip.IsRelay_;
  Out["suspicions"] = Gossip.Counters_.Suspicions_;
  Out["false_suspicions"] = Gossip.Counters_.FalseSuspicions_;
  Out["deaths_declared"] = Gossip.Counters_.DeathsDeclared_;
  Out["refutes"] = Gossip.Counters_.Refutations_;
  Out["gossip_bytes_sent"] = Gossip.Counters_.BytesSent_;
  Out["service"] = Gate.Announced_.Service_;
  Out["serving"] = Gate.Serving_;
  Out["running"] = Gate.Running_;
  Out["waiting"] = Gate.Waiting_;
  Out["limit"] = Gate.Limit_;
  Out["tickets"] = Gate.Tickets_;
  Out["kept_answer_bytes"] = Gate.KeptBytes_;
  Out["calls_pending"] = Parts_.Entry_.pending();
  return json::serialize(Out);
}

std::string Api::Impl::explainJson(std::string_view Id) {
  json::array Hops;
  for (const LedgerEntry &HopEntry : Parts_.Ledger_.find(Id)) {
    json::object Hop;
    Hop["node"] = Parts_.Node_;
    Hop["time_ms"] = HopEntry.WallTime_.whole();
    Hop["what"] = HopEntry.Decision_;
    Hop["detail"] = HopEntry.Detail_;
    Hops.push_back(std::move(Hop));
  }
  return json::serialize(Hops);
}

std::string Api::Impl::localStatus(std::string_view QueryKind,
                                   std::string_view Argument) {
  if (QueryKind == "status")
    return statusJson();
  if (QueryKind == "explain")
    return explainJson(Argument);
  if (QueryKind == "burn")
    return encodeCounts(Burn_.counts(Parts_.Clock_.now()));
  return "{}";
}

void Api::Impl::explain(const HttpExchange::Pointer &Exchange,
                        const std::string &Id) {
  queryFleet(Parts_.Context_, Parts_.Peers_, *Parts_.Gossip_.view(), "explain",
             Id, [Exchange, Id](const FleetAnswers &Answers) {
               std::vector<json::value> Hops;
               for (const std::string &Text : Answers.JsonTexts_) {
                 boost::system::error_code Failure;
                 json::value Parsed = json::parse(Text, Failure);
                 if (Failure || !Parsed.is_array())
                   continue;
                 for (json::value &Hop : Parsed.as_array())
                   if (Hop.is_object())
                     Hops.push_back(std::move(Hop));
               }
               std::stable_sort(
                   Hops.begin(), Hops.end(),
                   [](const json::value &Left, const json::value &Right) {
                     return hopTime(Left) < hopTime(Right);
                   });
               json::object Out;
               Out["request_id"] = Id;
               Out["nodes_missing"] = Answers.MissingMembers_;
               Out["hops"] = json::array(Hops.begin(), Hops.end());
               Exchange->respond(
                   jsonAnswer(Hops.empty() ? 404 : 200, json::serialize(Out)));
             });
}

void Api::Impl::setLevel(const HttpExchange::Pointer &Exchange) {
  try {
    json::value Parsed = json::parse(Exchange->request().Body_);
    std::string Name = textField(Parsed.as_object(), "level");
    setLogLevel(parseLogLevel(Name));
    Exchange->respond(jsonAnswer(200, R"({"level":")" + Name + "\"}"));
  } catch (const std::exception &Error) {
    Exchange->respond(errorAnswer(422, Error.what(), "level"));
  }
}

// A call is good if it was answered in full, without a server error, and within
// the latency of all objectives of its service and rank.
void Api::Impl::record(const CallRecord &Ended) {
  constexpr int FirstServerError = 500;
  bool Good = Ended.Verdict_ == "ran" && Ended.Status_ < FirstServerError;
  auto CurrentConfig = Parts_.Config_.current();
  for (const ObjectiveResource *Objective : CurrentConfig->objectives())
    if (Objective->Service_ == Ended.Service_ &&
        (Objective->Rank_.empty() || Objective->Rank_ == Ended.Rank_))
      Good = Good && Ended.Latency_ <= Objective->Latency_;
  Burn_.record(Ended.Service_, Ended.Rank_, Good, Parts_.Clock_.now());
  Metrics_.record(Ended);
}

// Each node counts only the calls that entered the fleet through it, so the
// report needs the sum of the counts of all nodes.
void Api::Impl::showBurn(const HttpExchange::Pointer &Exchange) {
  std::vector<BurnObjective> Objectives;
  auto CurrentConfig = Parts_.Config_.current();
  for (const ObjectiveResource *Objective : CurrentConfig->objectives())
    Objectives.push_back({{Objective->Service_, Objective->Rank_},
                          Objective->Target_,
                          Objective->Windows_});
  queryFleet(Parts_.Context_, Parts_.Peers_, *Parts_.Gossip_.view(), "burn", "",
             [Exchange, Objectives](const FleetAnswers &Answers) {
               BurnCounts Sum;
               for (const std::string &Text : Answers.JsonTexts_) {
                 try {
                   addCounts(Sum, decodeCounts(Text));
                 } catch (const std::invalid_argument &Error) {
                   logEvent(LogLevel::Warning, "burn_counts_unreadable",
                            {{"error", Error.what()}});
                 }
               }
               Exchange->respond(jsonAnswer(
                   200, burnReportJson(burnReport(Sum, Objectives))));
             });
}

Api::Api(ApiParts Parts) : Impl_(std::make_unique<Impl>(std::move(Parts))) {}

Api::~Api() = default;

void Api::handle(const HttpExchange::Pointer &Exchange) {
  Impl_->handle(Exchange);
}

std::string Api::localStatus(std::string_view QueryKind,
                             std::string_view Argument) {
  return Impl_->localStatus(QueryKind, Argument);
}

void Api::showListener(std::string_view Port, const HttpServer &Server) {
  Impl_->showListener(Port, Server);
}
void Api::record(const CallRecord &Ended) { Impl_->record(Ended); }

void Api::recordRetry(const RetryRecord &Asked) { Impl_->recordRetry(Asked); }

void Api::recordLag(Millis Lag) { Impl_->recordLag(Lag); }

void Api::endWatches() { Impl_->endWatches(); }

} // namespace coltsfoot
