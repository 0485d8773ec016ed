// Simulates random interleavings of the ticket protocol. Entries offer ticketed
// calls to three gates, and offer a call to the next candidate only after the
// previous one has closed the ticket. Messages are delayed and lost, clocks
// differ and jump, backend servers refuse calls, tables fill up, and gate
// processes are replaced.

#include "coltsfootpoint/time.h"
#include "ticket.h"
#include "tickettable.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

using namespace coltsfoot;

namespace {

constexpr size_t GateCount = 3;
constexpr int TicketCount = 3;
constexpr int CallCount = 10;
constexpr int StepCount = 250;
constexpr int MaxDrainRounds = 1000;
constexpr Millis MaxLifetime(60'000);

// The faults that one simulation may inject, besides lost messages and clocks
// that jump.
struct Faults {
  bool Shed_ = false; // Backend servers refuse calls that have begun.
  bool ReplaceProcesses_ = false; // Gate processes are replaced by new ones.
  bool SmallTables_ = false;      // Tables hold few entries and few answers.
};

enum class RequestKind { Offer, Inquire, Search };

// A message in flight from an entry to a gate.
struct Request {
  size_t Call_;
  int Epoch_;
  RequestKind Kind_;
  size_t Candidate_;
};

// A message in flight back to the entry. It has no outcome if the process that
// the ticket names no longer exists.
struct Response {
  size_t Call_;
  int Epoch_;
  std::optional<Outcome> Outcome_;
};

// A call that an entry makes for a caller.
struct Call {
  size_t Ticket_;
  std::string Client_;
  std::string Digest_;
  RequestKind Kind_ = RequestKind::Offer;
  size_t Candidate_ = 0;
  // Incremented with each request. Responses to earlier epochs came on
  // abandoned connections and are ignored.
  int Epoch_ = 0;
  std::optional<Outcome> Result_;
};

struct Execution {
  std::string Serial_;
  std::string Digest_;
};

struct Gate {
  ManualClock Clock_;
  TicketTable::Limits Bounds_;
  Incarnation Incarnation_ = 0;
  std::unique_ptr<TicketTable> Table_;
  std::vector<Execution> Queued_;
  std::vector<Execution> Running_;
};

// The outcomes that one handler received, and the process that called it.
struct HandlerRecord {
  std::string Serial_;
  Incarnation Process_ = 0;
  bool Owner_ = false;
  bool Inquired_ = false;
  std::vector<Outcome> Outcomes_;
};

class Simulation {
public:
  Simulation(unsigned Seed, Faults InjectedFaults)
      : Random_(Seed), Faults_(InjectedFaults) {
    for (Gate &G : Gates_) {
      G.Bounds_ = Faults_.SmallTables_
                      ? TicketTable::Limits{.MaxEntries_ = 1 + draw(3),
                                            .MaxKeptBytes_ = draw(200)}
                      : TicketTable::Limits{};
      G.Clock_.stepWall(Millis(static_cast<double>(draw(20'000))));
      replaceProcess(G);
    }
    for (int I = 0; I < TicketCount; ++I)
      issueTicket();
  }

  // Runs all steps and returns the first rule that was violated, or an empty
  // string.
  std::string run() {
    for (int I = 0; I < StepCount; ++I)
      step();
    drain();
    checkHandlers();
    checkCalls();
    checkExpiredRemoved();
    return Violation_;
  }

  int runCount() const {
    int Total = 0;
    for (const auto &[Serial, Count] : Runs_)
      Total += Count;
    return Total;
  }

  int laterCandidateRuns() const { return LaterCandidateRuns_; }

private:
  size_t draw(size_t Below) { return Random_() % Below; }
  bool chance(size_t Percent) { return draw(100) < Percent; }
  void reportViolation(const std::string &Rule) {
    if (Violation_.empty())
      Violation_ = Rule;
  }

  void replaceProcess(Gate &G) {
    G.Incarnation_ = ++LastIncarnation_;
    G.Queued_.clear();
    G.Running_.clear();
    G.Table_ = std::make_unique<TicketTable>(G.Clock_, G.Bounds_);
  }

  void issueTicket() {
    Ticket Issued{.Service_ = "s", .Route_ = "r", .Client_ = "shop"};
    Issued.Serial_ = "serial-" + std::to_string(Tickets_.size());
    double Lifetime = static_cast<double>(5'000 + draw(55'000));
    Issued.ExpiryWall_ = Gates_[0].Clock_.wallNow() + Millis(Lifetime);
    std::vector<size_t> Order = {0, 1, 2};
    std::shuffle(Order.begin(), Order.end(), Random_);
    Order.resize(1 + draw(GateCount));
    for (size_t I : Order)
      Issued.Candidates_.push_back({std::to_string(I), Gates_[I].Incarnation_});
    Tickets_.push_back(Issued);
  }

  void step() {
    size_t Choice = draw(100);
    if (Choice < 8)
      startCall();
    else if (Choice < 30)
      deliverRequest();
    else if (Choice < 50)
      deliverResponse();
    else if (Choice < 58)
      abandonConnection();
    else if (Choice < 70)
      beginOne(randomGate());
    else if (Choice < 82)
      finishOne(randomGate());
    else if (Choice < 86)
      closeOne(randomGate());
    else if (Choice < 90)
      randomGate().Table_->expire();
    else if (Choice < 94)
      moveClock(randomGate());
    else if (Choice < 96)
      closeUnoffered();
    else if (Choice < 98)
      loseResponse();
    else if (Faults_.ReplaceProcesses_ && chance(20))
      replaceProcess(randomGate());
  }

  Gate &randomGate() { return Gates_[draw(GateCount)]; }

  Gate &gateOf(const Ticket &T, size_t Candidate) {
    return Gates_[std::stoul(T.Candidates_[Candidate].Node_)];
  }

  // Returns the callback that issues a successor; empty unless the process is
  // the last candidate.
  SuccessorFactory successorFactory(const Ticket &T, Incarnation Process) {
    bool Last = T.Candidates_.back().Incarnation_ == Process;
    if (!Last)
      return {};
    return [this] { return "successor-" + std::to_string(++SuccessorCount_); };
  }

  std::string successorFor(const std::string &Serial, Incarnation Process) {
    for (const Ticket &T : Tickets_)
      if (T.Serial_ == Serial)
        if (SuccessorFactory Factory = successorFactory(T, Process))
          return Factory();
    return {};
  }

  void startCall() {
    if (Calls_.size() == CallCount)
      return;
    Call Started{.Ticket_ = draw(TicketCount),
                 .Client_ = chance(4) ? "stranger" : "shop",
                 .Digest_ = chance(8) ? "other" : "digest"};
    Calls_.push_back(Started);
    send(Calls_.size() - 1);
  }

  void send(size_t Index) {
    const Call &C = Calls_[Index];
    Requests_.push_back({Index, C.Epoch_, C.Kind_, C.Candidate_});
  }

  // The entry abandons the connection and sends an inquiry on a new one. A
  // message sent earlier may still arrive.
  void abandonConnection() {
    if (Calls_.empty())
      return;
    size_t Index = draw(Calls_.size());
    Call &C = Calls_[Index];
    if (C.Result_)
      return;
    ++C.Epoch_;
    if (C.Kind_ == RequestKind::Offer)
      C.Kind_ = RequestKind::Inquire;
    send(Index);
  }

  void deliverRequest() {
    if (Requests_.empty())
      return;
    size_t Index = draw(Requests_.size());
    Request Arrived = Requests_[Index];
    Requests_.erase(Requests_.begin() + static_cast<long>(Index));
    const Call &C = Calls_[Arrived.Call_];
    Ticket Presented = Tickets_[C.Ticket_];
    Presented.Client_ = C.Client_;
    Gate &G = gateOf(Presented, Arrived.Candidate_);
    if (G.Incarnation_ !=
        Presented.Candidates_[Arrived.Candidate_].Incarnation_) {
      Responses_.push_back({Arrived.Call_, Arrived.Epoch_, std::nullopt});
      return;
    }
    OutcomeHandler Handler = makeHandler(Arrived, Presented.Serial_, G);
    if (Arrived.Kind_ == RequestKind::Offer) {
      offer(G, Presented, C.Digest_, Handler);
      return;
    }
    bool Close = Arrived.Kind_ == RequestKind::Inquire;
    G.Table_->inquire(Presented, Close, Reason::ConnectionLost,
                      successorFactory(Presented, G.Incarnation_), Handler,
                      C.Digest_);
  }

  void offer(Gate &G, const Ticket &Presented, const std::string &Digest,
             const OutcomeHandler &Handler) {
    size_t Id = HandlerRecords_.size() - 1;
    if (G.Table_->offer(Presented, Digest, Handler) != OfferResult::Started)
      return;
    HandlerRecords_[Id].Owner_ = true;
    G.Queued_.push_back({Presented.Serial_, Digest});
  }

  OutcomeHandler makeHandler(const Request &Arrived, const std::string &Serial,
                             const Gate &G) {
    size_t Id = HandlerRecords_.size();
    HandlerRecords_.push_back(
        {.Serial_ = Serial,
         .Process_ = G.Incarnation_,
         .Inquired_ = Arrived.Kind_ != RequestKind::Offer});
    const TicketTable *Table = G.Table_.get();
    return [this, Id, Arrived, Table](const Outcome &Received) {
      Table->figures(); // Deadlocks if the mutex is held.
      HandlerRecords_[Id].Outcomes_.push_back(Received);
      Responses_.push_back({Arrived.Call_, Arrived.Epoch_, Received});
    };
  }

  void loseResponse() {
    if (!Responses_.empty())
      Responses_.erase(Responses_.begin() +
                       static_cast<long>(draw(Responses_.size())));
  }

  void deliverResponse() {
    if (Responses_.empty())
      return;
    size_t Index = draw(Responses_.size());
    Response Arrived = Responses_[Index];
    Responses_.erase(Responses_.begin() + static_cast<long>(Index));
    Call &C = Calls_[Arrived.Call_];
    if (C.Result_ || C.Epoch_ != Arrived.Epoch_)
      return;
    if (!Arrived.Outcome_)
      C.Kind_ = RequestKind::Search;
    if (C.Kind_ == RequestKind::Search)
      onSearchResponse(Arrived.Call_, Arrived.Outcome_);
    else
      onPlacementResponse(Arrived.Call_, *Arrived.Outcome_);
  }

  // Handles a response while the entry searches for the answer: the process of
  // an earlier candidate no longer exists, and a later one may hold the answer.
  // Nothing is started.
  void onSearchResponse(size_t Index, const std::optional<Outcome> &Received) {
    Call &C = Calls_[Index];
    if (Received && std::holds_alternative<Ran>(Received->Verdict_)) {
      C.Result_ = Received;
      return;
    }
    ++C.Candidate_;
    ++C.Epoch_;
    if (C.Candidate_ < Tickets_[C.Ticket_].Candidates_.size())
      send(Index);
    else
      C.Result_ = Outcome{.Verdict_ = MayHaveRun{Reason::CandidateGone}};
  }

  void onPlacementResponse(size_t Index, const Outcome &Received) {
    Call &C = Calls_[Index];
    bool Last = C.Candidate_ + 1 == Tickets_[C.Ticket_].Candidates_.size();
    if (!Received.Closed_ || Last) {
      C.Result_ = Received;
      return;
    }
    ++C.Candidate_;
    ++C.Epoch_;
    C.Kind_ = RequestKind::Offer;
    send(Index);
  }

  static std::optional<Execution> takeAny(std::vector<Execution> &From,
                                          size_t Index) {
    if (From.empty())
      return std::nullopt;
    auto At = From.begin() + static_cast<long>(Index % From.size());
    Execution Taken = *At;
    From.erase(At);
    return Taken;
  }

  void beginOne(Gate &G) {
    std::optional<Execution> Next = takeAny(G.Queued_, Random_());
    if (!Next || !G.Table_->begin(Next->Serial_))
      return;
    G.Running_.push_back(*Next);
    ++RunsByProcess_[{G.Incarnation_, Next->Serial_}];
    if (++Runs_[Next->Serial_] > 1)
      reportViolation("executed twice: " + Next->Serial_);
    if (ticketOf(Next->Serial_).Candidates_[0].Incarnation_ != G.Incarnation_)
      ++LaterCandidateRuns_;
    if (G.Table_->begin(Next->Serial_))
      reportViolation("began twice at one gate: " + Next->Serial_);
  }

  const Ticket &ticketOf(const std::string &Serial) {
    return *std::find_if(Tickets_.begin(), Tickets_.end(),
                         [&](const Ticket &T) { return T.Serial_ == Serial; });
  }

  void finishOne(Gate &G) {
    std::optional<Execution> Next = takeAny(G.Running_, Random_());
    if (!Next)
      return;
    Outcome Result;
    Result.CreditsLeft_ = 1;
    if (Faults_.Shed_ && chance(30)) {
      Result.Verdict_ = NotRun{Reason::UpstreamShed};
      Result.Successor_ = successorFor(Next->Serial_, G.Incarnation_);
      --Runs_[Next->Serial_];
      --RunsByProcess_[{G.Incarnation_, Next->Serial_}];
    } else if (chance(20)) {
      Result.Verdict_ = MayHaveRun{Reason::UpstreamLost};
    } else {
      Result.Verdict_ =
          Ran{{.Status_ = 200, .Body_ = Next->Serial_ + "/" + Next->Digest_}};
    }
    G.Table_->finish(Next->Serial_, Result);
  }

  void closeOne(Gate &G) {
    std::vector<Execution> &From = chance(80) ? G.Queued_ : G.Running_;
    if (From.empty())
      return;
    const Execution &Selected = From[draw(From.size())];
    bool Closed =
        G.Table_->close(Selected.Serial_, Reason::Leaving,
                        successorFor(Selected.Serial_, G.Incarnation_));
    if (Closed && &From == &G.Running_)
      reportViolation("closed a running execution: " + Selected.Serial_);
  }

  // A gate that is draining closes a ticket that it has not been offered yet.
  void closeUnoffered() {
    const Ticket &T = Tickets_[draw(TicketCount)];
    size_t Candidate = draw(T.Candidates_.size());
    Gate &G = gateOf(T, Candidate);
    if (T.Candidates_[Candidate].Incarnation_ == G.Incarnation_)
      G.Table_->closeIfUnknown(T, Reason::Leaving,
                               successorFor(T.Serial_, G.Incarnation_));
  }

  void moveClock(Gate &G) {
    auto Step = static_cast<double>(draw(10'000));
    if (chance(30))
      G.Clock_.stepWall(Millis(-Step));
    else
      G.Clock_.advance(Millis(Step));
  }

  bool isIdle() const {
    bool Idle = Requests_.empty() && Responses_.empty();
    for (const Gate &G : Gates_)
      Idle = Idle && G.Queued_.empty() && G.Running_.empty();
    for (const Call &C : Calls_)
      Idle = Idle && C.Result_;
    return Idle;
  }

  // Runs all calls to their end without injecting further lost messages.
  void drain() {
    for (int Round = 0; Round < MaxDrainRounds && !isIdle(); ++Round) {
      while (!Requests_.empty())
        deliverRequest();
      for (Gate &G : Gates_) {
        while (!G.Queued_.empty())
          beginOne(G);
        while (!G.Running_.empty())
          finishOne(G);
      }
      while (!Responses_.empty())
        deliverResponse();
      if (Requests_.empty())
        abandonConnection();
    }
    if (!isIdle())
      reportViolation("a call did not end while the simulation drained");
  }

  void checkHandlers() {
    std::map<std::string, std::set<std::string>> Successors;
    for (const HandlerRecord &H : HandlerRecords_) {
      checkCallCount(H);
      for (const Outcome &Received : H.Outcomes_) {
        checkOutcome(H, Received);
        if (!Received.Successor_.empty())
          Successors[H.Serial_].insert(Received.Successor_);
      }
    }
    for (const auto &[Serial, Distinct] : Successors)
      if (Distinct.size() > 1)
        reportViolation("more than one successor was issued: " + Serial);
  }

  void checkCallCount(const HandlerRecord &H) {
    bool ProcessExists =
        std::any_of(Gates_.begin(), Gates_.end(), [&](const Gate &G) {
          return G.Incarnation_ == H.Process_;
        });
    bool CalledOnce = H.Outcomes_.size() == 1;
    bool DroppedWithTable = !ProcessExists && H.Outcomes_.empty();
    if (!CalledOnce && !DroppedWithTable)
      reportViolation("a handler was not called exactly once: " + H.Serial_);
  }

  void checkOutcome(const HandlerRecord &H, const Outcome &Received) {
    int Runs = RunsByProcess_[{H.Process_, H.Serial_}];
    bool IsNotRun = std::holds_alternative<NotRun>(Received.Verdict_);
    if (Received.Closed_ && (!IsNotRun || Runs > 0))
      reportViolation("an outcome is closed but the ticket ran: " + H.Serial_);
    if (IsNotRun && H.Owner_ && Runs > 0)
      reportViolation("the owner received not-run but the ticket ran: " +
                      H.Serial_);
    // A refused offer says only that this offer did not run. Not-run in answer
    // to an inquiry says that the ticket did not run, except for a mismatch.
    if (IsNotRun && H.Inquired_ && !isMismatch(Received) && Runs > 0)
      reportViolation("an inquiry received not-run but the ticket ran: " +
                      H.Serial_);
    if (std::holds_alternative<Ran>(Received.Verdict_) && Runs != 1)
      reportViolation(
          "an answer was returned but the ticket did not run once: " +
          H.Serial_);
    if (!H.Owner_ && Received.CreditsLeft_ != 0)
      reportViolation("credits were returned twice: " + H.Serial_);
  }

  static bool isMismatch(const Outcome &Received) {
    return Received.Verdict_ == Verdict(NotRun{Reason::TicketInvalid}) ||
           Received.Verdict_ == Verdict(NotRun{Reason::TicketBodyMismatch});
  }

  void checkCalls() {
    for (const Call &C : Calls_) {
      if (!C.Result_)
        continue;
      const std::string &Serial = Tickets_[C.Ticket_].Serial_;
      if (const auto *RanVerdict = std::get_if<Ran>(&C.Result_->Verdict_))
        if (RanVerdict->Answer_.Body_ != Serial + "/" + C.Digest_)
          reportViolation("a call received the answer to another request: " +
                          Serial);
      if (C.Result_->Closed_ && Runs_[Serial] > 0)
        reportViolation("every candidate closed the ticket but it ran: " +
                        Serial);
    }
  }

  void checkExpiredRemoved() {
    for (Gate &G : Gates_) {
      G.Clock_.advance(MaxLifetime * 10);
      G.Table_->expire();
      if (G.Table_->figures() != TicketTable::Figures{})
        reportViolation("an expired entry was not removed");
    }
  }

  std::mt19937 Random_;
  Faults Faults_;
  std::array<Gate, GateCount> Gates_;
  Incarnation LastIncarnation_ = 0;
  std::vector<Ticket> Tickets_;
  std::vector<Call> Calls_;
  std::vector<Request> Requests_;
  std::vector<Response> Responses_;
  std::vector<HandlerRecord> HandlerRecords_;
  int SuccessorCount_ = 0;
  // The number of executions that took effect, by serial and by process and
  // serial.
  std::map<std::string, int> Runs_;
  std::map<std::pair<Incarnation, std::string>, int> RunsByProcess_;
  int LaterCandidateRuns_ = 0;
  std::string Violation_;
};

// Runs a simulation for each seed and checks that enough tickets ran for the
// test to be meaningful.
void runSeeds(unsigned First, unsigned Count, Faults InjectedFaults) {
  int Runs = 0;
  int LaterCandidateRuns = 0;
  for (unsigned Seed = First; Seed < First + Count; ++Seed) {
    Simulation Simulated(Seed, InjectedFaults);
    std::string Violation = Simulated.run();
    CHECK_MESSAGE(Violation.empty(), "seed " << Seed << ": " << Violation);
    Runs += Simulated.runCount();
    LaterCandidateRuns += Simulated.laterCandidateRuns();
  }
  MESSAGE(Count << " seeds, " << Runs << " runs, " << LaterCandidateRuns
                << " of them at a later candidate");
  CHECK(Runs > static_cast<int>(Count));
  CHECK(LaterCandidateRuns > static_cast<int>(Count / 10));
}

} // namespace

TEST_CASE("at most one candidate begins a ticket") { runSeeds(0, 2000, {}); }

TEST_CASE("at most one candidate begins a ticket, with small tables") {
  runSeeds(10'000, 2000, {.SmallTables_ = true});
}

TEST_CASE("at most one candidate begins a ticket, with replaced processes") {
  runSeeds(20'000, 2000, {.ReplaceProcesses_ = true});
}

TEST_CASE("at most one execution takes effect, with all faults") {
  runSeeds(30'000, 3000,
           {.Shed_ = true, .ReplaceProcesses_ = true, .SmallTables_ = true});
}
