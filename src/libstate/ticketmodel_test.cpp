/// Explores every order of events of the ticket protocol: two entries offer one
/// ticket with three candidates, while every candidate and both entries may
/// crash, one connection may be lost and one message may arrive twice. The
/// gates are real TicketTables; the entries take the steps of EntryCall without
/// its timers.

#include "ticket.h"
#include "tickettable.h"

#include "coltsfootpoint/time.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <string>
#include <unordered_set>
#include <vector>

using namespace coltsfoot;

namespace {

constexpr int GateCount = 3;
constexpr int EntryCount = 2;
constexpr int SearchAfterUnanswered = 2;

/// The requests that an entry sends, and the responses and connection events
/// that it receives.
enum Kind : char {
  Offer = 'o',
  Inquire = 'i', ///< Closes the ticket if it is unknown.
  Search = 's',  ///< Never closes the ticket.
  ResponseRan = 'R',
  ResponseMayHaveRun = 'M',
  ResponseUnknown = 'U',
  ResponseClosed = 'C',
  /// The connection was lost after the request was sent.
  EventConnectionLost = 'L',
  /// Another process has the address of the candidate.
  EventReplaced = 'P',
};

struct Message {
  char Kind_ = 0;
  char Entry_ = 0;
  /// The number of the entry's request that this is or answers.
  char Number_ = 0;
  char Gate_ = 0;
  /// The successor in a response; zero for none.
  char Successor_ = 0;
  auto operator<=>(const Message &) const = default;
};

/// The steps that a gate takes without a request.
enum Step : char {
  Start = 'b',   ///< The call is sent to the backend server; counts as run.
  Finish = 'f',  ///< The backend server answers.
  Decline = 'd', ///< The backend server refuses the call.
  Close = 'c',   ///< The call is refused in the queue.
};

struct GateStep {
  char Step_ = 0; ///< A Step, or the Kind of a received request.
  char Entry_ = 0;
  char Number_ = 0;
};

struct GateState {
  std::vector<GateStep> History_;
  bool Crashed_ = false;
};

enum EntryEnd : char {
  InProgress = 0,
  EndRan,
  EndMayHaveRun,
  EndNotRun,
  EndCrashed
};

struct EntryState {
  char End_ = InProgress;
  char Number_ = 0;      ///< The number of its latest request.
  char RequestKind_ = 0; ///< The Kind of that request.
  char Gate_ = 0;
  char UnansweredMessages_ = 0;
  char CandidateToRetry_ = -1;
  char Successor_ = 0;
};

struct SystemState {
  std::array<GateState, GateCount> Gates_;
  std::array<EntryState, EntryCount> Entries_;
  std::vector<Message> InFlight_;
  char Runs_ = 0;
  bool MayLoseConnection_ = true;
  bool MayDuplicate_ = true;

  /// Returns whether an entry still waits for the response to this request.
  bool isAwaited(int Entry, char Number) const {
    const EntryState &Self = Entries_[size_t(Entry)];
    return Self.End_ == InProgress && Self.Number_ == Number;
  }
};

/// Replays the history of a gate on a real table and then takes further steps.
class GateReplay {
public:
  GateReplay(const GateState &Gate, int Number)
      : Number_(Number), Table_(Clock_, TicketTable::Limits{}) {
    for (const GateStep &Each : Gate.History_)
      applyStep(Each);
    Responses_.clear();
  }

  /// Takes a step and returns the responses that the gate sends.
  std::vector<Message> applyStep(const GateStep &Next) {
    OutcomeHandler Handler = [this, Next](const Outcome &Reported) {
      respond(Next, Reported);
    };
    SuccessorFactory Factory = [this] { return issueSuccessor(); };
    if (Next.Step_ == Offer || Next.Step_ == Inquire || Next.Step_ == Search)
      Unanswered_.push_back(Next);
    switch (Next.Step_) {
    case Offer:
      Table_.offer(Ticket_, "digest", Handler);
      break;
    case Inquire:
      Table_.inquire(Ticket_, true, Reason::ConnectionLost, Factory, Handler,
                     "digest");
      break;
    case Search:
      Table_.inquire(Ticket_, false, Reason::ConnectionLost, Factory, Handler,
                     "digest");
      break;
    case Start:
      Table_.begin(Ticket_.Serial_);
      break;
    case Finish:
      Table_.finish(Ticket_.Serial_, {.Verdict_ = Ran{Answer{200, {}, {}}}});
      break;
    case Decline:
      Table_.begin(Ticket_.Serial_);
      Table_.finish(Ticket_.Serial_, {.Verdict_ = NotRun{Reason::UpstreamShed},
                                      .Successor_ = issueSuccessor()});
      break;
    case Close:
      Table_.close(Ticket_.Serial_, Reason::QueueTimeout, issueSuccessor());
      break;
    default:
      FAIL("unknown step");
    }
    ++StepCount_;
    return std::exchange(Responses_, {});
  }

  /// Returns the entries that wait for a response of this gate, one bit each.
  char waitingEntries(const SystemState &Current) const {
    char Bits = 0;
    for (const GateStep &Each : Unanswered_)
      if (Current.isAwaited(Each.Entry_, Each.Number_))
        Bits = char(Bits | 1 << Each.Entry_);
    return Bits;
  }
  bool queued() const { return Table_.figures().Queued_ > 0; }
  bool running() const { return Table_.figures().Running_ > 0; }

private:
  // Returns a different successor for each step. Only the last gate issues
  // successors.
  std::string issueSuccessor() const {
    return Number_ + 1 == GateCount ? std::string(1, char('A' + StepCount_))
                                    : "";
  }

  void respond(const GateStep &Request, const Outcome &Reported) {
    char Successor =
        Reported.Successor_.empty() ? 0 : Reported.Successor_.front();
    char Result = ResponseUnknown;
    if (std::holds_alternative<Ran>(Reported.Verdict_))
      Result = ResponseRan;
    else if (Reported.Closed_)
      Result = ResponseClosed;
    else if (Reported.Verdict_ != Verdict(MayHaveRun{Reason::CandidateGone}))
      Result = ResponseMayHaveRun;
    Responses_.push_back(
        {Result, Request.Entry_, Request.Number_, char(Number_), Successor});
    std::erase_if(Unanswered_, [&](const GateStep &Each) {
      return Each.Entry_ == Request.Entry_ && Each.Number_ == Request.Number_;
    });
  }

  const int Number_;
  ManualClock Clock_;
  TicketTable Table_;
  int StepCount_ = 0;
  std::vector<Message> Responses_;
  std::vector<GateStep> Unanswered_;
  const Ticket Ticket_{.Service_ = "s",
                       .Route_ = "r",
                       .Client_ = "c",
                       .Serial_ = "serial",
                       .ExpiryWall_ = Clock_.wallNow() + Millis(30'000),
                       .Candidates_ = {{"10.0.0.1:1", 1}}};
};

/// The steps of an entry, as EntryCall takes them.
class EntrySteps {
public:
  EntrySteps(SystemState &Current, int Number)
      : State_(Current), Self_(Current.Entries_[size_t(Number)]),
        Number_(Number) {}

  void offer(int Gate) { send(Offer, Gate); }

  void receive(const Message &Received) {
    if (Self_.End_ != InProgress || Received.Number_ != Self_.Number_)
      return;
    bool Lost = Received.Kind_ == EventConnectionLost ||
                Received.Kind_ == EventReplaced;
    if (Self_.RequestKind_ == Search)
      return Lost ? search(Self_.Gate_ + 1) : onSearchResponse(Received);
    if (Lost)
      return onLost(Received.Kind_ == EventReplaced);
    onReply(Received);
  }

private:
  void send(Kind Action, int Gate) {
    Self_.RequestKind_ = Action;
    Self_.Gate_ = char(Gate);
    ++Self_.Number_;
    // Nothing is sent to a process that has crashed: the handshake shows that
    // it was replaced.
    bool Crashed = State_.Gates_[size_t(Gate)].Crashed_;
    State_.InFlight_.push_back({char(Crashed ? EventReplaced : Action),
                                char(Number_), Self_.Number_, char(Gate), 0});
  }

  void end(EntryEnd Result, char Successor = 0) {
    Self_.End_ = Result;
    Self_.Successor_ = Successor;
  }

  void onReply(const Message &Received) {
    Self_.UnansweredMessages_ = 0;
    Self_.CandidateToRetry_ = -1;
    if (Received.Kind_ == ResponseRan)
      return end(EndRan);
    if (Received.Kind_ != ResponseClosed)
      return end(EndMayHaveRun);
    if (Self_.Gate_ + 1 == GateCount)
      return end(EndNotRun, Received.Successor_);
    offer(Self_.Gate_ + 1);
  }

  void onLost(bool Replaced) {
    if (Replaced)
      return search(Self_.Gate_ + 1);
    if (++Self_.UnansweredMessages_ % SearchAfterUnanswered == 0) {
      Self_.CandidateToRetry_ = Self_.Gate_;
      return search(Self_.Gate_ + 1);
    }
    send(Inquire, Self_.Gate_);
  }

  void search(int Gate) {
    if (Gate < GateCount)
      return send(Search, Gate);
    if (Self_.CandidateToRetry_ < 0)
      return end(EndMayHaveRun);
    send(Inquire, std::exchange(Self_.CandidateToRetry_, char(-1)));
  }

  void onSearchResponse(const Message &Received) {
    if (Received.Kind_ == ResponseClosed)
      return onReply(Received);
    if (Received.Kind_ == ResponseRan)
      return end(EndRan);
    if (Received.Kind_ == ResponseMayHaveRun)
      return end(EndMayHaveRun);
    search(Self_.Gate_ + 1);
  }

  SystemState &State_;
  EntryState &Self_;
  const int Number_;
};

bool isRequest(const Message &Each) {
  return Each.Kind_ == Offer || Each.Kind_ == Inquire || Each.Kind_ == Search;
}

/// Returns a text that is equal for two states only if the same events can
/// follow from both. It contains the response that each gate would give instead
/// of its history, and whether a message is awaited instead of its number.
std::string stateKey(const SystemState &Current) {
  constexpr char NoEntry = EntryCount;
  std::string Text;
  for (int I = 0; I < GateCount; ++I) {
    const GateState &Gate = Current.Gates_[size_t(I)];
    GateReplay Replay(Gate, I);
    Text += Gate.Crashed_      ? '!'
            : Replay.queued()  ? 'q'
            : Replay.running() ? 'r'
                               : '.';
    Text += char('0' + Replay.waitingEntries(Current));
    if (!Gate.Crashed_ && !Replay.queued() && !Replay.running())
      for (const Message &Response : Replay.applyStep({Search, NoEntry, 0}))
        Text += {Response.Kind_, char('0' + Response.Successor_)};
  }
  for (const EntryState &Each : Current.Entries_)
    if (Each.End_ == InProgress)
      Text += {'w', Each.RequestKind_, Each.Gate_, Each.UnansweredMessages_,
               Each.CandidateToRetry_};
    else
      Text += {'0', Each.End_, Each.Successor_};
  std::vector<Message> Sorted = Current.InFlight_;
  for (Message &Each : Sorted)
    Each.Number_ = Current.isAwaited(Each.Entry_, Each.Number_) ? 1 : 0;
  std::sort(Sorted.begin(), Sorted.end());
  for (const Message &Each : Sorted)
    Text +=
        {Each.Kind_, Each.Entry_, Each.Number_, Each.Gate_, Each.Successor_};
  Text += {char('0' + Current.Runs_), Current.MayLoseConnection_ ? 'l' : '-',
           Current.MayDuplicate_ ? 'd' : '-'};
  return Text;
}

/// Explores every state that is reachable from the first one.
class StateExplorer {
public:
  /// Returns the number of distinct states.
  size_t explore(const SystemState &Initial) {
    add(Initial);
    while (!Frontier_.empty()) {
      SystemState Next = std::move(Frontier_.back());
      Frontier_.pop_back();
      expand(Next);
    }
    return Visited_.size();
  }

  size_t Ran_ = 0;
  size_t NotRun_ = 0;
  size_t MayHaveRun_ = 0;
  size_t LaterCandidateRuns_ = 0;

private:
  // Removes the responses that no entry awaits, which have no effect, and adds
  // the state unless it is known.
  void add(SystemState Reached) {
    std::erase_if(Reached.InFlight_, [&](const Message &Each) {
      return !isRequest(Each) && !Reached.isAwaited(Each.Entry_, Each.Number_);
    });
    if (!Visited_.insert(stateKey(Reached)).second)
      return;
    check(Reached);
    Frontier_.push_back(std::move(Reached));
  }

  void check(const SystemState &Current) {
    char Successor = 0;
    bool Holds = Current.Runs_ <= 1;
    for (const EntryState &Each : Current.Entries_) {
      Ran_ += Each.End_ == EndRan ? 1 : 0;
      NotRun_ += Each.End_ == EndNotRun ? 1 : 0;
      MayHaveRun_ += Each.End_ == EndMayHaveRun ? 1 : 0;
      if (Each.End_ == EndRan)
        Holds = Holds && Current.Runs_ == 1;
      if (Each.End_ != EndNotRun)
        continue;
      Holds = Holds && Current.Runs_ == 0 && Each.Successor_ != 0 &&
              (Successor == 0 || Successor == Each.Successor_);
      Successor = Each.Successor_;
    }
    REQUIRE(Holds);
  }

  void expand(const SystemState &Current) {
    for (size_t I = 0; I < Current.InFlight_.size(); ++I)
      expandMessage(Current, I);
    for (int Gate = 0; Gate < GateCount; ++Gate)
      expandGate(Current, Gate);
    for (size_t I = 0; I < EntryCount; ++I) {
      SystemState Next = Current;
      if (std::exchange(Next.Entries_[I].End_, EndCrashed) == InProgress)
        add(Next);
    }
  }

  void expandMessage(const SystemState &Current, size_t Index) {
    const Message Delivered = Current.InFlight_[Index];
    SystemState Next = Current;
    Next.InFlight_.erase(Next.InFlight_.begin() + std::ptrdiff_t(Index));
    if (!isRequest(Delivered)) {
      EntrySteps(Next, Delivered.Entry_).receive(Delivered);
      add(Next);
      if (Current.MayLoseConnection_)
        add(loseConnection(Current, Index));
      return;
    }
    const auto Gate = static_cast<unsigned char>(Delivered.Gate_);
    if (Current.Gates_[size_t(Gate)].Crashed_) {
      EntrySteps(Next, Delivered.Entry_)
          .receive({EventConnectionLost, Delivered.Entry_, Delivered.Number_,
                    Delivered.Gate_, 0});
      return add(Next);
    }
    step(Next, Gate, {Delivered.Kind_, Delivered.Entry_, Delivered.Number_});
    add(Next);
    if (Current.MayLoseConnection_)
      add(loseConnection(Current, Index));
    if (!Current.MayDuplicate_)
      return;
    Next.MayDuplicate_ = false;
    Next.InFlight_.push_back(Delivered);
    add(Next);
  }

  // Returns the state after the connection of a message is lost. The entry is
  // notified and a response is lost, but a request may still arrive later.
  static SystemState loseConnection(const SystemState &Current, size_t Index) {
    SystemState Next = Current;
    Next.MayLoseConnection_ = false;
    const Message Lost = Current.InFlight_[Index];
    if (!isRequest(Lost))
      Next.InFlight_.erase(Next.InFlight_.begin() + std::ptrdiff_t(Index));
    EntrySteps(Next, Lost.Entry_)
        .receive(
            {EventConnectionLost, Lost.Entry_, Lost.Number_, Lost.Gate_, 0});
    return Next;
  }

  void expandGate(const SystemState &Current, int Number) {
    const GateState &Gate = Current.Gates_[size_t(Number)];
    if (Gate.Crashed_)
      return;
    GateReplay CurrentGate(Gate, Number);
    auto TryStep = [&](Step Action) {
      SystemState Next = Current;
      step(Next, Number, {Action, 0, 0});
      Next.Runs_ = char(Next.Runs_ + (Action == Start ? 1 : 0));
      LaterCandidateRuns_ += Action == Start && Number > 0 ? 1 : 0;
      add(Next);
    };
    if (CurrentGate.queued())
      for (Step Action : {Start, Decline, Close})
        TryStep(Action);
    if (CurrentGate.running())
      TryStep(Finish);
    crash(Current, Number);
  }

  void crash(SystemState Next, int Number) {
    Next.Gates_[size_t(Number)] = {{}, true};
    for (int I = 0; I < EntryCount; ++I) {
      const EntryState Affected = Next.Entries_[size_t(I)];
      bool InFlight = std::any_of(Next.InFlight_.begin(), Next.InFlight_.end(),
                                  [&](const Message &Each) {
                                    return Each.Entry_ == I &&
                                           Each.Number_ == Affected.Number_;
                                  });
      if (Affected.End_ == InProgress && Affected.Gate_ == Number && !InFlight)
        EntrySteps(Next, I).receive(
            {EventConnectionLost, char(I), Affected.Number_, char(Number), 0});
    }
    add(Next);
  }

  static void step(SystemState &Next, int Number, const GateStep &Action) {
    GateState &Gate = Next.Gates_[size_t(Number)];
    GateReplay Replay(Gate, Number);
    for (const Message &Response : Replay.applyStep(Action))
      Next.InFlight_.push_back(Response);
    Gate.History_.push_back(Action);
  }

  std::unordered_set<std::string> Visited_;
  std::vector<SystemState> Frontier_;
};

} // namespace

TEST_CASE(
    "in every order of events a ticket runs at most once and not-run is true") {
  SystemState Initial;
  for (int I = 0; I < EntryCount; ++I)
    EntrySteps(Initial, I).offer(0);
  StateExplorer Exploration;
  size_t StateCount = Exploration.explore(Initial);
  MESSAGE("states=", StateCount,
          " entries ended in these states: ran=", Exploration.Ran_,
          " not-run=", Exploration.NotRun_,
          " may-have-run=", Exploration.MayHaveRun_,
          " runs at later candidates=", Exploration.LaterCandidateRuns_);
  CHECK(Exploration.Ran_ > 0);
  CHECK(Exploration.NotRun_ > 0);
  CHECK(Exploration.MayHaveRun_ > 0);
  CHECK(Exploration.LaterCandidateRuns_ > 0);
}
