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
constexpr Millis LongestLifetime(60'000);

// The faults that one simulation may inject, besides lost messages and clocks
// that jump.
struct Faults {
  bool Shed_ = false;    // Backend servers refuse calls that have begun.
  bool Replace_ = false; // Gate processes are replaced by new ones.
  bool Narrow_ = false;  // Tables hold few entries and few answers.
};

enum class Kind { Offer, Inquire, Search };

// A message in flight from an entry to a gate.
struct Request {
  size_t Call_;
  int Epoch_;
  Kind Kind_;
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
  Kind Kind_ = Kind::Offer;
  size_t Candidate_ = 0;
  // Incremented with each request. Responses to earlier epochs came on abandoned
  // connections and are ignored.
  int Epoch_ = 0;
  std::optional<Outcome> Result_;
};

struct Execution {
  std::string Serial_;
  std::string Digest_;
};

struct Gate {
  ManualClock Time_;
  TicketTable::Limits Bounds_;
  Incarnation Incarnation_ = 0;
  std::unique_ptr<TicketTable> Table_;
  std::vector<Execution> Queued_;
  std::vector<Execution> Running_;
};

// The outcomes that one handler received, and the process that called it.
struct Heard {
  std::string Serial_;
  Incarnation By_ = 0;
  bool Owner_ = false;
  bool Inquired_ = false;
  std::vector<Outcome> Outcomes_;
};

class Simulation {
public:
  Simulation(unsigned Seed, Faults Allowed) : Random_(Seed), Allowed_(Allowed) {
    for (Gate &G : Gates_) {
      G.Bounds_ = Allowed_.Narrow_
                      ? TicketTable::Limits{.MaxEntries_ = 1 + draw(3),
                                            .MaxKeptBytes_ = draw(200)}
                      : TicketTable::Limits{};
      G.Time_.stepWall(Millis(static_cast<double>(draw(20'000))));
      replace(G);
    }
    for (int I = 0; I < TicketCount; ++I)
      mint();
  }

  // Runs all steps and returns the first rule that was violated, or an empty
  // string.
  std::string run() {
    for (int I = 0; I < StepCount; ++I)
      step();
    drain();
    checkHandlers();
    checkCalls();
    checkForgetting();
    return Broken_;
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
  void broken(const std::string &Rule) {
    if (Broken_.empty())
      Broken_ = Rule;
  }

  void replace(Gate &G) {
    G.Incarnation_ = ++LastIncarnation_;
    G.Queued_.clear();
    G.Running_.clear();
    G.Table_ = std::make_unique<TicketTable>(G.Time_, G.Bounds_);
  }

  void mint() {
    Ticket Minted{.Service_ = "s", .Route_ = "r", .Client_ = "shop"};
    Minted.Serial_ = "serial-" + std::to_string(Tickets_.size());
    double Lifetime = static_cast<double>(5'000 + draw(55'000));
    Minted.ExpiryWall_ = Gates_[0].Time_.wallNow() + Millis(Lifetime);
    std::vector<size_t> Order = {0, 1, 2};
    std::shuffle(Order.begin(), Order.end(), Random_);
    Order.resize(1 + draw(GateCount));
    for (size_t I : Order)
      Minted.Candidates_.push_back({std::to_string(I), Gates_[I].Incarnation_});
    Tickets_.push_back(Minted);
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
      giveUpConnection();
    else if (Choice < 70)
      beginOne(anyGate());
    else if (Choice < 82)
      finishOne(anyGate());
    else if (Choice < 86)
      closeOne(anyGate());
    else if (Choice < 90)
      anyGate().Table_->expire();
    else if (Choice < 94)
      moveClock(anyGate());
    else if (Choice < 96)
      closeUnasked();
    else if (Choice < 98)
      loseResponse();
    else if (Allowed_.Replace_ && chance(20))
      replace(anyGate());
  }

  Gate &anyGate() { return Gates_[draw(GateCount)]; }

  Gate &gateOf(const Ticket &T, size_t Candidate) {
    return Gates_[std::stoul(T.Candidates_[Candidate].Node_)];
  }

  // Returns the callback that issues a successor; empty unless the process is
  // the last candidate.
  SuccessorMint mintFor(const Ticket &T, Incarnation By) {
    bool Last = T.Candidates_.back().Incarnation_ == By;
    if (!Last)
      return {};
    return [this] { return "successor-" + std::to_string(++Successors_); };
  }

  std::string successorFor(const std::string &Serial, Incarnation By) {
    for (const Ticket &T : Tickets_)
      if (T.Serial_ == Serial)
        if (SuccessorMint Mint = mintFor(T, By))
          return Mint();
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
  void giveUpConnection() {
    if (Calls_.empty())
      return;
    size_t Index = draw(Calls_.size());
    Call &C = Calls_[Index];
    if (C.Result_)
      return;
    ++C.Epoch_;
    if (C.Kind_ == Kind::Offer)
      C.Kind_ = Kind::Inquire;
    send(Index);
  }

  void deliverRequest() {
    if (Requests_.empty())
      return;
    size_t Index = draw(Requests_.size());
    Request Arrived = Requests_[Index];
    Requests_.erase(Requests_.begin() + static_cast<long>(Index));
    const Call &C = Calls_[Arrived.Call_];
    Ticket Shown = Tickets_[C.Ticket_];
    Shown.Client_ = C.Client_;
    Gate &G = gateOf(Shown, Arrived.Candidate_);
    if (G.Incarnation_ != Shown.Candidates_[Arrived.Candidate_].Incarnation_) {
      Responses_.push_back({Arrived.Call_, Arrived.Epoch_, std::nullopt});
      return;
    }
    OutcomeHandler Handler = expect(Arrived, Shown.Serial_, G);
    if (Arrived.Kind_ == Kind::Offer) {
      offer(G, Shown, C.Digest_, Handler);
      return;
    }
    bool Close = Arrived.Kind_ == Kind::Inquire;
    G.Table_->inquire(Shown, Close, Reason::ConnectionLost,
                      mintFor(Shown, G.Incarnation_), Handler, C.Digest_);
  }

  void offer(Gate &G, const Ticket &Shown, const std::string &Digest,
             const OutcomeHandler &Handler) {
    size_t Id = Heard_.size() - 1;
    if (G.Table_->offer(Shown, Digest, Handler) != Admit::Started)
      return;
    Heard_[Id].Owner_ = true;
    G.Queued_.push_back({Shown.Serial_, Digest});
  }

  OutcomeHandler expect(const Request &Arrived, const std::string &Serial,
                        const Gate &G) {
    size_t Id = Heard_.size();
    Heard_.push_back({.Serial_ = Serial,
                      .By_ = G.Incarnation_,
                      .Inquired_ = Arrived.Kind_ != Kind::Offer});
    const TicketTable *Table = G.Table_.get();
    return [this, Id, Arrived, Table](const Outcome &Told) {
      Table->figures(); // Deadlocks if the mutex is held.
      Heard_[Id].Outcomes_.push_back(Told);
      Responses_.push_back({Arrived.Call_, Arrived.Epoch_, Told});
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
      C.Kind_ = Kind::Search;
    if (C.Kind_ == Kind::Search)
      search(Arrived.Call_, Arrived.Outcome_);
    else
      place(Arrived.Call_, *Arrived.Outcome_);
  }

  // Handles a response while the entry searches for the answer: the process of
  // an earlier candidate no longer exists, and a later one may hold the answer.
  // Nothing is started.
  void search(size_t Index, const std::optional<Outcome> &Told) {
    Call &C = Calls_[Index];
    if (Told && std::holds_alternative<Ran>(Told->Verdict_)) {
      C.Result_ = Told;
      return;
    }
    ++C.Candidate_;
    ++C.Epoch_;
    if (C.Candidate_ < Tickets_[C.Ticket_].Candidates_.size())
      send(Index);
    else
      C.Result_ = Outcome{.Verdict_ = MayHaveRun{Reason::CandidateGone}};
  }

  void place(size_t Index, const Outcome &Told) {
    Call &C = Calls_[Index];
    bool Last = C.Candidate_ + 1 == Tickets_[C.Ticket_].Candidates_.size();
    if (!Told.Closed_ || Last) {
      C.Result_ = Told;
      return;
    }
    ++C.Candidate_;
    ++C.Epoch_;
    C.Kind_ = Kind::Offer;
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
    ++RunsBy_[{G.Incarnation_, Next->Serial_}];
    if (++Runs_[Next->Serial_] > 1)
      broken("executed twice: " + Next->Serial_);
    if (ticketOf(Next->Serial_).Candidates_[0].Incarnation_ != G.Incarnation_)
      ++LaterCandidateRuns_;
    if (G.Table_->begin(Next->Serial_))
      broken("began twice at one gate: " + Next->Serial_);
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
    if (Allowed_.Shed_ && chance(30)) {
      Result.Verdict_ = NotRun{Reason::UpstreamShed};
      Result.Successor_ = successorFor(Next->Serial_, G.Incarnation_);
      --Runs_[Next->Serial_];
      --RunsBy_[{G.Incarnation_, Next->Serial_}];
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
    const Execution &Which = From[draw(From.size())];
    bool Closed = G.Table_->close(Which.Serial_, Reason::Leaving,
                                  successorFor(Which.Serial_, G.Incarnation_));
    if (Closed && &From == &G.Running_)
      broken("closed a running execution: " + Which.Serial_);
  }

  // A gate that is draining closes a ticket that it has not been offered yet.
  void closeUnasked() {
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
      G.Time_.stepWall(Millis(-Step));
    else
      G.Time_.advance(Millis(Step));
  }

  bool quiet() const {
    bool Idle = Requests_.empty() && Responses_.empty();
    for (const Gate &G : Gates_)
      Idle = Idle && G.Queued_.empty() && G.Running_.empty();
    for (const Call &C : Calls_)
      Idle = Idle && C.Result_;
    return Idle;
  }

  // Runs all calls to their end without injecting further lost messages.
  void drain() {
    for (int Round = 0; Round < MaxDrainRounds && !quiet(); ++Round) {
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
        giveUpConnection();
    }
    if (!quiet())
      broken("a call did not end while the simulation drained");
  }

  void checkHandlers() {
    std::map<std::string, std::set<std::string>> Successors;
    for (const Heard &H : Heard_) {
      checkCallCount(H);
      for (const Outcome &Told : H.Outcomes_) {
        checkOutcome(H, Told);
        if (!Told.Successor_.empty())
          Successors[H.Serial_].insert(Told.Successor_);
      }
    }
    for (const auto &[Serial, Different] : Successors)
      if (Different.size() > 1)
        broken("more than one successor was issued: " + Serial);
  }

  void checkCallCount(const Heard &H) {
    bool Lives = std::any_of(Gates_.begin(), Gates_.end(), [&](const Gate &G) {
      return G.Incarnation_ == H.By_;
    });
    bool Once = H.Outcomes_.size() == 1;
    bool DroppedWithTable = !Lives && H.Outcomes_.empty();
    if (!Once && !DroppedWithTable)
      broken("a handler was not called exactly once: " + H.Serial_);
  }

  void checkOutcome(const Heard &H, const Outcome &Told) {
    int Runs = RunsBy_[{H.By_, H.Serial_}];
    bool SaysNotRun = std::holds_alternative<NotRun>(Told.Verdict_);
    if (Told.Closed_ && (!SaysNotRun || Runs > 0))
      broken("an outcome is closed but the ticket ran: " + H.Serial_);
    if (SaysNotRun && H.Owner_ && Runs > 0)
      broken("the owner received not-run but the ticket ran: " + H.Serial_);
    // A refused offer says only that this offer did not run. Not-run in answer
    // to an inquiry says that the ticket did not run, except for a mismatch.
    if (SaysNotRun && H.Inquired_ && !isMismatch(Told) && Runs > 0)
      broken("an inquiry received not-run but the ticket ran: " + H.Serial_);
    if (std::holds_alternative<Ran>(Told.Verdict_) && Runs != 1)
      broken("an answer was returned but the ticket did not run once: " +
             H.Serial_);
    if (!H.Owner_ && Told.CreditsLeft_ != 0)
      broken("credits were returned twice: " + H.Serial_);
  }

  static bool isMismatch(const Outcome &Told) {
    return Told.Verdict_ == Verdict(NotRun{Reason::TicketInvalid}) ||
           Told.Verdict_ == Verdict(NotRun{Reason::TicketBodyMismatch});
  }

  void checkCalls() {
    for (const Call &C : Calls_) {
      if (!C.Result_)
        continue;
      const std::string &Serial = Tickets_[C.Ticket_].Serial_;
      if (const auto *Whole = std::get_if<Ran>(&C.Result_->Verdict_))
        if (Whole->Answer_.Body_ != Serial + "/" + C.Digest_)
          broken("a call received the answer to another request: " + Serial);
      if (C.Result_->Closed_ && Runs_[Serial] > 0)
        broken("every candidate closed the ticket but it ran: " + Serial);
    }
  }

  void checkForgetting() {
    for (Gate &G : Gates_) {
      G.Time_.advance(LongestLifetime * 10);
      G.Table_->expire();
      if (G.Table_->figures() != TicketTable::Figures{})
        broken("an expired entry was not removed");
    }
  }

  std::mt19937 Random_;
  Faults Allowed_;
  std::array<Gate, GateCount> Gates_;
  Incarnation LastIncarnation_ = 0;
  std::vector<Ticket> Tickets_;
  std::vector<Call> Calls_;
  std::vector<Request> Requests_;
  std::vector<Response> Responses_;
  std::vector<Heard> Heard_;
  int Successors_ = 0;
  // The number of executions that took effect, by serial and by process and
  // serial.
  std::map<std::string, int> Runs_;
  std::map<std::pair<Incarnation, std::string>, int> RunsBy_;
  int LaterCandidateRuns_ = 0;
  std::string Broken_;
};

// Runs a simulation for each seed and checks that enough tickets ran for the
// test to be meaningful.
void runSeeds(unsigned First, unsigned Count, Faults Allowed) {
  int Runs = 0;
  int LaterCandidateRuns = 0;
  for (unsigned Seed = First; Seed < First + Count; ++Seed) {
    Simulation One(Seed, Allowed);
    std::string Broken = One.run();
    CHECK_MESSAGE(Broken.empty(), "seed " << Seed << ": " << Broken);
    Runs += One.runCount();
    LaterCandidateRuns += One.laterCandidateRuns();
  }
  MESSAGE(Count << " seeds, " << Runs << " runs, " << LaterCandidateRuns
                << " of them at a later candidate");
  CHECK(Runs > static_cast<int>(Count));
  CHECK(LaterCandidateRuns > static_cast<int>(Count / 10));
}

} // namespace

TEST_CASE("at most one candidate begins a ticket") { runSeeds(0, 2000, {}); }

TEST_CASE("at most one candidate begins a ticket, with small tables") {
  runSeeds(10'000, 2000, {.Narrow_ = true});
}

TEST_CASE("at most one candidate begins a ticket, with replaced processes") {
  runSeeds(20'000, 2000, {.Replace_ = true});
}

TEST_CASE("at most one execution takes effect, with all faults") {
  runSeeds(30'000, 3000, {.Shed_ = true, .Replace_ = true, .Narrow_ = true});
}
