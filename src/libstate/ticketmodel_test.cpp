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
constexpr int SearchAfterFailures = 2;

/// The requests that an entry sends and the responses that it receives.
enum Kind : char {
  Offer = 'o',
  Inquire = 'i', ///< Closes the ticket if it is unknown.
  Search = 's',  ///< Never closes the ticket.
  HeardRan = 'R',
  HeardMaybe = 'M',
  HeardUnknown = 'U',
  HeardClosed = 'C',
  HeardLost = 'L',     ///< The connection was lost after the request was sent.
  HeardReplaced = 'P', ///< Another process has the address.
};

struct Message {
  char Kind_ = 0;
  char Entry_ = 0;
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
  std::vector<GateStep> Past_;
  bool Gone_ = false;
};

enum End : char { Going = 0, EndRan, EndMaybe, EndNotRun, EndCrashed };

struct EntryState {
  char End_ = Going;
  char Number_ = 0; ///< Of the request that awaits a response.
  char Sent_ = 0;   ///< The Kind of that request.
  char Gate_ = 0;
  char Failures_ = 0;
  char AskAgain_ = -1;
  char Successor_ = 0;
};

struct World {
  std::array<GateState, GateCount> Gates_;
  std::array<EntryState, EntryCount> Entries_;
  std::vector<Message> Flying_;
  char Runs_ = 0;
  bool MayLose_ = true;
  bool MayDouble_ = true;

  /// Returns whether an entry still waits for the response to this request.
  bool awaited(int Entry, char Number) const {
    const EntryState &Self = Entries_[size_t(Entry)];
    return Self.End_ == Going && Self.Number_ == Number;
  }
};

/// Replays the history of a gate on a real table and then takes further steps.
class GatePlay {
public:
  GatePlay(const GateState &Gate, int Number)
      : Number_(Number), Table_(Time_, TicketTable::Limits{}) {
    for (const GateStep &Each : Gate.Past_)
      play(Each);
    Said_.clear();
  }

  /// Takes a step and returns the responses that the gate sends.
  std::vector<Message> play(const GateStep &Next) {
    OutcomeHandler Handler = [this, Next](const Outcome &Told) {
      say(Next, Told);
    };
    SuccessorMint Mint = [this] { return mint(); };
    if (Next.Step_ == Offer || Next.Step_ == Inquire || Next.Step_ == Search)
      Asked_.push_back(Next);
    switch (Next.Step_) {
    case Offer:
      Table_.offer(Ticket_, "digest", Handler);
      break;
    case Inquire:
      Table_.inquire(Ticket_, true, Reason::ConnectionLost, Mint, Handler,
                     "digest");
      break;
    case Search:
      Table_.inquire(Ticket_, false, Reason::ConnectionLost, Mint, Handler,
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
                                      .Successor_ = mint()});
      break;
    case Close:
      Table_.close(Ticket_.Serial_, Reason::QueueTimeout, mint());
      break;
    default:
      FAIL("unknown step");
    }
    ++Played_;
    return std::exchange(Said_, {});
  }

  /// Returns the entries that wait for a response of this gate, one bit each.
  char waiting(const World &Now) const {
    char Bits = 0;
    for (const GateStep &Each : Asked_)
      if (Now.awaited(Each.Entry_, Each.Number_))
        Bits = char(Bits | 1 << Each.Entry_);
    return Bits;
  }
  bool queued() const { return Table_.figures().Queued_ > 0; }
  bool running() const { return Table_.figures().Running_ > 0; }

private:
  // Returns a different successor for each step. Only the last gate issues
  // successors.
  std::string mint() const {
    return Number_ + 1 == GateCount ? std::string(1, char('A' + Played_)) : "";
  }

  void say(const GateStep &To, const Outcome &Told) {
    char Successor = Told.Successor_.empty() ? 0 : Told.Successor_.front();
    char How = HeardUnknown;
    if (std::holds_alternative<Ran>(Told.Verdict_))
      How = HeardRan;
    else if (Told.Closed_)
      How = HeardClosed;
    else if (Told.Verdict_ != Verdict(MayHaveRun{Reason::CandidateGone}))
      How = HeardMaybe;
    Said_.push_back({How, To.Entry_, To.Number_, char(Number_), Successor});
    std::erase_if(Asked_, [&](const GateStep &Each) {
      return Each.Entry_ == To.Entry_ && Each.Number_ == To.Number_;
    });
  }

  const int Number_;
  ManualClock Time_;
  TicketTable Table_;
  int Played_ = 0;
  std::vector<Message> Said_;
  std::vector<GateStep> Asked_;
  const Ticket Ticket_{.Service_ = "s",
                       .Route_ = "r",
                       .Client_ = "c",
                       .Serial_ = "serial",
                       .ExpiryWall_ = Time_.wallNow() + Millis(30'000),
                       .Candidates_ = {{"10.0.0.1:1", 1}}};
};

/// The steps of an entry, as EntryCall takes them.
class EntrySteps {
public:
  EntrySteps(World &Now, int Number)
      : World_(Now), Self_(Now.Entries_[size_t(Number)]), Number_(Number) {}

  void offer(int Gate) { send(Offer, Gate); }

  void hear(const Message &Heard) {
    if (Self_.End_ != Going || Heard.Number_ != Self_.Number_)
      return;
    bool Lost = Heard.Kind_ == HeardLost || Heard.Kind_ == HeardReplaced;
    if (Self_.Sent_ == Search)
      return Lost ? search(Self_.Gate_ + 1) : onFound(Heard);
    if (Lost)
      return onLost(Heard.Kind_ == HeardReplaced);
    onReply(Heard);
  }

private:
  void send(Kind What, int Gate) {
    Self_.Sent_ = What;
    Self_.Gate_ = char(Gate);
    ++Self_.Number_;
    // Nothing is sent to a process that has crashed: the handshake shows that
    // it was replaced.
    bool Gone = World_.Gates_[size_t(Gate)].Gone_;
    World_.Flying_.push_back({char(Gone ? HeardReplaced : What), char(Number_),
                              Self_.Number_, char(Gate), 0});
  }

  void end(End How, char Successor = 0) {
    Self_.End_ = How;
    Self_.Successor_ = Successor;
  }

  void onReply(const Message &Heard) {
    Self_.Failures_ = 0;
    Self_.AskAgain_ = -1;
    if (Heard.Kind_ == HeardRan)
      return end(EndRan);
    if (Heard.Kind_ != HeardClosed)
      return end(EndMaybe);
    if (Self_.Gate_ + 1 == GateCount)
      return end(EndNotRun, Heard.Successor_);
    offer(Self_.Gate_ + 1);
  }

  void onLost(bool Replaced) {
    if (Replaced)
      return search(Self_.Gate_ + 1);
    if (++Self_.Failures_ % SearchAfterFailures == 0) {
      Self_.AskAgain_ = Self_.Gate_;
      return search(Self_.Gate_ + 1);
    }
    send(Inquire, Self_.Gate_);
  }

  void search(int Gate) {
    if (Gate < GateCount)
      return send(Search, Gate);
    if (Self_.AskAgain_ < 0)
      return end(EndMaybe);
    send(Inquire, std::exchange(Self_.AskAgain_, char(-1)));
  }

  void onFound(const Message &Heard) {
    if (Heard.Kind_ == HeardClosed)
      return onReply(Heard);
    if (Heard.Kind_ == HeardRan)
      return end(EndRan);
    if (Heard.Kind_ == HeardMaybe)
      return end(EndMaybe);
    search(Self_.Gate_ + 1);
  }

  World &World_;
  EntryState &Self_;
  const int Number_;
};

bool isRequest(const Message &Each) {
  return Each.Kind_ == Offer || Each.Kind_ == Inquire || Each.Kind_ == Search;
}

/// Returns a text that is equal for two states only if the same events can
/// follow from both. It contains the response that each gate would give instead
/// of its history, and whether a message is awaited instead of its number.
std::string keyOf(const World &Now) {
  constexpr char Nobody = EntryCount;
  std::string Text;
  for (int I = 0; I < GateCount; ++I) {
    const GateState &Gate = Now.Gates_[size_t(I)];
    GatePlay Play(Gate, I);
    Text += Gate.Gone_ ? '!' : Play.queued() ? 'q' : Play.running() ? 'r' : '.';
    Text += char('0' + Play.waiting(Now));
    if (!Gate.Gone_ && !Play.queued() && !Play.running())
      for (const Message &Said : Play.play({Search, Nobody, 0}))
        Text += {Said.Kind_, char('0' + Said.Successor_)};
  }
  for (const EntryState &Each : Now.Entries_)
    if (Each.End_ == Going)
      Text += {'w', Each.Sent_, Each.Gate_, Each.Failures_, Each.AskAgain_};
    else
      Text += {'0', Each.End_, Each.Successor_};
  std::vector<Message> Sorted = Now.Flying_;
  for (Message &Each : Sorted)
    Each.Number_ = Now.awaited(Each.Entry_, Each.Number_) ? 1 : 0;
  std::sort(Sorted.begin(), Sorted.end());
  for (const Message &Each : Sorted)
    Text +=
        {Each.Kind_, Each.Entry_, Each.Number_, Each.Gate_, Each.Successor_};
  Text += {char('0' + Now.Runs_), Now.MayLose_ ? 'l' : '-',
           Now.MayDouble_ ? 'd' : '-'};
  return Text;
}

/// Explores every state that is reachable from the first one.
class Explorer {
public:
  /// Returns the number of distinct states.
  size_t explore(const World &First) {
    add(First);
    while (!Open_.empty()) {
      World Next = std::move(Open_.back());
      Open_.pop_back();
      follow(Next);
    }
    return Seen_.size();
  }

  size_t Ran_ = 0;
  size_t NotRun_ = 0;
  size_t Maybe_ = 0;
  size_t AtLater_ = 0;

private:
  // Removes the responses that no entry awaits, which have no effect, and adds
  // the state unless it is known.
  void add(World Fresh) {
    std::erase_if(Fresh.Flying_, [&](const Message &Each) {
      return !isRequest(Each) && !Fresh.awaited(Each.Entry_, Each.Number_);
    });
    if (!Seen_.insert(keyOf(Fresh)).second)
      return;
    check(Fresh);
    Open_.push_back(std::move(Fresh));
  }

  void check(const World &Now) {
    char Successor = 0;
    bool Kept = Now.Runs_ <= 1;
    for (const EntryState &Each : Now.Entries_) {
      Ran_ += Each.End_ == EndRan ? 1 : 0;
      NotRun_ += Each.End_ == EndNotRun ? 1 : 0;
      Maybe_ += Each.End_ == EndMaybe ? 1 : 0;
      if (Each.End_ == EndRan)
        Kept = Kept && Now.Runs_ == 1;
      if (Each.End_ != EndNotRun)
        continue;
      Kept = Kept && Now.Runs_ == 0 && Each.Successor_ != 0 &&
             (Successor == 0 || Successor == Each.Successor_);
      Successor = Each.Successor_;
    }
    REQUIRE(Kept);
  }

  void follow(const World &Now) {
    for (size_t I = 0; I < Now.Flying_.size(); ++I)
      followMessage(Now, I);
    for (int Gate = 0; Gate < GateCount; ++Gate)
      followGate(Now, Gate);
    for (size_t I = 0; I < EntryCount; ++I) {
      World Next = Now;
      if (std::exchange(Next.Entries_[I].End_, EndCrashed) == Going)
        add(Next);
    }
  }

  void followMessage(const World &Now, size_t At) {
    const Message Taken = Now.Flying_[At];
    World Next = Now;
    Next.Flying_.erase(Next.Flying_.begin() + std::ptrdiff_t(At));
    if (!isRequest(Taken)) {
      EntrySteps(Next, Taken.Entry_).hear(Taken);
      add(Next);
      if (Now.MayLose_)
        add(lose(Now, At));
      return;
    }
    const auto Gate = static_cast<unsigned char>(Taken.Gate_);
    if (Now.Gates_[size_t(Gate)].Gone_) {
      EntrySteps(Next, Taken.Entry_)
          .hear({HeardLost, Taken.Entry_, Taken.Number_, Taken.Gate_, 0});
      return add(Next);
    }
    step(Next, Gate, {Taken.Kind_, Taken.Entry_, Taken.Number_});
    add(Next);
    if (Now.MayLose_)
      add(lose(Now, At));
    if (!Now.MayDouble_)
      return;
    Next.MayDouble_ = false;
    Next.Flying_.push_back(Taken);
    add(Next);
  }

  // Returns the state after the connection of a message is lost. The entry is
  // notified and a response is lost, but a request may still arrive later.
  static World lose(const World &Now, size_t At) {
    World Next = Now;
    Next.MayLose_ = false;
    const Message Lost = Now.Flying_[At];
    if (!isRequest(Lost))
      Next.Flying_.erase(Next.Flying_.begin() + std::ptrdiff_t(At));
    EntrySteps(Next, Lost.Entry_)
        .hear({HeardLost, Lost.Entry_, Lost.Number_, Lost.Gate_, 0});
    return Next;
  }

  void followGate(const World &Now, int Number) {
    const GateState &Gate = Now.Gates_[size_t(Number)];
    if (Gate.Gone_)
      return;
    GatePlay Present(Gate, Number);
    auto Try = [&](Step What) {
      World Next = Now;
      step(Next, Number, {What, 0, 0});
      Next.Runs_ = char(Next.Runs_ + (What == Start ? 1 : 0));
      AtLater_ += What == Start && Number > 0 ? 1 : 0;
      add(Next);
    };
    if (Present.queued())
      for (Step What : {Start, Decline, Close})
        Try(What);
    if (Present.running())
      Try(Finish);
    crash(Now, Number);
  }

  void crash(World Next, int Number) {
    Next.Gates_[size_t(Number)] = {{}, true};
    for (int I = 0; I < EntryCount; ++I) {
      const EntryState Waiting = Next.Entries_[size_t(I)];
      bool Underway = std::any_of(
          Next.Flying_.begin(), Next.Flying_.end(), [&](const Message &Each) {
            return Each.Entry_ == I && Each.Number_ == Waiting.Number_;
          });
      if (Waiting.End_ == Going && Waiting.Gate_ == Number && !Underway)
        EntrySteps(Next, I).hear(
            {HeardLost, char(I), Waiting.Number_, char(Number), 0});
    }
    add(Next);
  }

  static void step(World &Next, int Number, const GateStep &What) {
    GateState &Gate = Next.Gates_[size_t(Number)];
    GatePlay Play(Gate, Number);
    for (const Message &Said : Play.play(What))
      Next.Flying_.push_back(Said);
    Gate.Past_.push_back(What);
  }

  std::unordered_set<std::string> Seen_;
  std::vector<World> Open_;
};

} // namespace

TEST_CASE(
    "in every order of events a ticket runs at most once and not-run holds") {
  World First;
  for (int I = 0; I < EntryCount; ++I)
    EntrySteps(First, I).offer(0);
  Explorer All;
  size_t Worlds = All.explore(First);
  MESSAGE("states=", Worlds, " with an entry that ended ran=", All.Ran_,
          " not-run=", All.NotRun_, " may-have-run=", All.Maybe_,
          " runs at later candidates=", All.AtLater_);
  CHECK(All.Ran_ > 0);
  CHECK(All.NotRun_ > 0);
  CHECK(All.Maybe_ > 0);
  CHECK(All.AtLater_ > 0);
}
