#include "soakrun.h"

#include "faultproxy.h"
#include "platformmachine.h"
#include "platformstore.h"
#include "timer.h"

#include "coltsfootpoint/ipport.h"

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <thread>

namespace coltsfoot {

namespace {

constexpr Millis CallDeadline(1500);
constexpr Millis CallPatience(4000);
constexpr Millis HeartbeatEvery(300);
/// After a node has acknowledged that its upstream is leaving, it may still
/// send calls to it for this long.
constexpr Millis DrainTime(2000);
constexpr Millis LeavingTime(4000);
/// A node exits within this time of SIGTERM.
constexpr Millis StopTime(7000);
/// All nodes must serve again within this time of the last fault's end.
constexpr Millis RecoveryTime(15000);
constexpr int ClientsOfMachine = 3;
constexpr Millis UpstreamWork(15);
constexpr Millis TickSpan(20);

void sleepFor(Millis Time) { std::this_thread::sleep_for(toChrono(Time)); }

/// Returns the service to which this version of the configuration sends the
/// calls that may be repeated.
std::string serviceOf(int Version) {
  return Version % 2 == 0 ? "beta" : "alpha";
}

/// A machine whose connections to its upstream and to the store pass through
/// fault proxies, with the state of the faults at it.
struct Place {
  Place(int Number, const PlatformStore &Store, const std::string &Folder,
        const std::string &Service)
      : StoreLink_(platformAddress(Number)),
        UpstreamLink_(platformAddress(Number)),
        Machine_(
            {Number, StoreLink_.address(), Folder, UpstreamLink_.address()},
            {.Service_ = Service, .Work_ = UpstreamWork}) {
    target(StoreLink_, Store.address());
    target(UpstreamLink_, Machine_.upstream().address());
  }

  static void target(FaultProxy &Link, const std::string &Address) {
    IpPort Parsed = parseIpPort(Address).value();
    Link.setTarget(Parsed.Ip_, Parsed.Port_);
  }

  FaultProxy StoreLink_;
  FaultProxy UpstreamLink_;
  PlatformMachine Machine_;
  /// The state in the upstream's reports.
  std::string State_ = "ready";
  Millis NextReport_;
  int Lives_ = 1;
  bool NodeBusy_ = false;     ///< A fault of the node is active.
  bool UpstreamBusy_ = false; ///< A fault of the upstream is active.
};

/// An action that is due at a time.
struct Due {
  Millis At_;
  std::function<void()> Act_;
};

} // namespace

class SoakRun::Impl {
public:
  explicit Impl(const Options &Given)
      : Options_(Given), Random_(Given.Seed_), Store_(platformAddress(7)) {
    std::filesystem::create_directories(Options_.Folder_);
    int Number = 0;
    for (const char *Service : {"alpha", "alpha", "beta"})
      Places_.push_back(
          std::make_unique<Place>(++Number, Store_, Options_.Folder_, Service));
  }

  bool play();

private:
  using Fault = void (Impl::*)(Place &);

  void startAll();
  void runClient(Place &At, int Number, std::stop_token Stop);
  void callOnce(HttpSession &Session, const std::string &Id, bool MayRepeat);
  void playFaults();
  void drawFault();
  void settle();
  void checkRecovery();
  void checkConfig();
  void tickUntil(Millis Until);
  void reportAll();
  int reportOf(Place &At, const std::string &State);
  void later(Millis Delay, std::function<void()> Act);
  void endLater(bool &Busy, Millis Delay, std::function<void()> End);
  void putConfig();
  bool finish();
  void keepLogs() const;

  void killNode(Place &At);
  void stopNode(Place &At);
  void awaitStop(Place &At, Millis Since);
  void pauseNode(Place &At);
  void hangUp(Place &At);
  void storeDown(Place &At);
  void storeLink(Place &At);
  void forgetHistory(Place &At);
  void changeConfig(Place &At);
  void upstreamLink(Place &At);
  void shed(Place &At);
  void lieOnHealth(Place &At);
  void leave(Place &At);
  void checkDrain(Place &At);

  uint64_t draw(uint64_t Below) { return Random_() % Below; }
  Millis drawTime(double From, double To) {
    constexpr uint64_t Steps = 1000;
    return Millis(From + (To - From) * static_cast<double>(draw(Steps)) /
                             static_cast<double>(Steps));
  }

  const Options Options_;
  const SystemClock Clock_;
  std::mt19937_64 Random_;
  PlatformStore Store_;
  std::vector<std::unique_ptr<Place>> Places_;
  SoakLedger Ledger_;
  std::vector<std::jthread> Clients_;
  std::vector<Due> Due_;
  std::string Played_;
  int Version_ = 1;
  bool StoreBusy_ = false;
};

bool SoakRun::Impl::play() {
  startAll();
  int Number = 0;
  for (auto &Each : Places_)
    for (int I = 0; I < ClientsOfMachine; ++I)
      Clients_.emplace_back(
          [this, &At = *Each, Client = ++Number](const std::stop_token &Stop) {
            runClient(At, Client, Stop);
          });
  playFaults();
  settle();
  checkRecovery();
  checkConfig();
  for (auto &Each : Clients_)
    Each.request_stop();
  Clients_.clear();
  return finish();
}

void SoakRun::Impl::startAll() {
  Store_.put("config", platformConfiguration(Version_, serviceOf(Version_)));
  for (auto &Each : Places_)
    Each->Machine_.start();
  for (auto &Each : Places_)
    reportOf(*Each, "ready");
  for (auto &Each : Places_) {
    waitUntil([&] { return Each->Machine_.ready(); }, RecoveryTime, "ready");
    Each->Machine_.callUntil(200, "/safe/warm");
  }
}

// A client keeps one connection open until the connection fails or the node
// closes it.
void SoakRun::Impl::runClient(Place &At, int Number, std::stop_token Stop) {
  HttpSession Session(At.Machine_.ip(), PlatformMachine::CallPort);
  std::mt19937_64 Own(Options_.Seed_ * 1000 + static_cast<uint64_t>(Number));
  std::string Prefix =
      "s" + std::to_string(Options_.Seed_) + "-" + std::to_string(Number) + "-";
  for (int I = 0; !Stop.stop_requested(); ++I) {
    callOnce(Session, Prefix + std::to_string(I), Own() % 2 == 0);
    sleepFor(Millis(static_cast<double>(5 + Own() % 25)));
  }
}

void SoakRun::Impl::callOnce(HttpSession &Session, const std::string &Id,
                             bool MayRepeat) {
  try {
    HttpReply Reply = Session.request(
        MayRepeat ? "GET" : "POST", MayRepeat ? "/safe/x" : "/once/x",
        PlatformMachine::callFields(Id, CallDeadline),
        MayRepeat ? "" : "body of " + Id, CallPatience);
    Ledger_.answered(Id, MayRepeat, Reply);
    if (Reply.header("Connection") == "close")
      Session.close();
  } catch (const HttpError &) {
    Ledger_.unanswered(Id, MayRepeat);
  }
}

void SoakRun::Impl::playFaults() {
  for (int I = 0; I < Options_.Faults_; ++I) {
    drawFault();
    tickUntil(Clock_.now() + drawTime(50, 900));
  }
}

void SoakRun::Impl::drawFault() {
  struct Kind {
    const char *Name_;
    Fault Play_;
    bool AtNode_;
    bool AtUpstream_;
    bool AtStore_;
  };
  static const std::vector<Kind> Kinds = {
      {"kill", &Impl::killNode, true, false, false},
      {"stop", &Impl::stopNode, true, false, false},
      {"pause", &Impl::pauseNode, true, false, false},
      {"hup", &Impl::hangUp, true, false, false},
      {"store-down", &Impl::storeDown, false, false, true},
      {"store-link", &Impl::storeLink, false, false, false},
      {"history", &Impl::forgetHistory, false, false, false},
      {"config", &Impl::changeConfig, false, false, true},
      {"upstream-link", &Impl::upstreamLink, false, true, false},
      {"shed", &Impl::shed, false, true, false},
      {"health", &Impl::lieOnHealth, true, true, false},
      {"leave", &Impl::leave, false, true, false}};
  const Kind &Drawn = Kinds[draw(Kinds.size())];
  Place &At = *Places_[draw(Places_.size())];
  // The end of one fault would also end another one of the same process or
  // link, so that only one is active there at a time.
  if ((Drawn.AtNode_ && At.NodeBusy_) ||
      (Drawn.AtUpstream_ && At.UpstreamBusy_) || (Drawn.AtStore_ && StoreBusy_))
    return;
  Played_ += std::string(Played_.empty() ? "" : ",") + Drawn.Name_;
  (this->*Drawn.Play_)(At);
}

void SoakRun::Impl::later(Millis Delay, std::function<void()> Act) {
  Due_.push_back({Clock_.now() + Delay, std::move(Act)});
}

// Schedules the end of a fault. Until then, no other fault is injected into the
// same process or link.
void SoakRun::Impl::endLater(bool &Busy, Millis Delay,
                             std::function<void()> End) {
  Busy = true;
  later(Delay, [&Busy, End = std::move(End)] {
    End();
    Busy = false;
  });
}

void SoakRun::Impl::tickUntil(Millis Until) {
  while (Clock_.now() < Until) {
    // An action may schedule further ones, which invalidates iterators.
    for (size_t I = 0; I < Due_.size();) {
      if (Due_[I].At_ > Clock_.now()) {
        ++I;
        continue;
      }
      auto Act = std::move(Due_[I].Act_);
      Due_.erase(Due_.begin() + static_cast<std::ptrdiff_t>(I));
      Act();
    }
    reportAll();
    for (auto &Each : Places_)
      if (Each->Machine_.endedByItself()) {
        Ledger_.broken("node " + Each->Machine_.ip() +
                       " exited without a signal from the test");
        Each->Machine_.start();
      }
    sleepFor(TickSpan);
  }
}

void SoakRun::Impl::reportAll() {
  for (auto &Each : Places_) {
    if (Clock_.now() < Each->NextReport_ || Each->NodeBusy_)
      continue;
    Each->NextReport_ = Clock_.now() + HeartbeatEvery;
    reportOf(*Each, Each->State_);
  }
}

/// Returns the status of the answer, or 0 when there was none.
int SoakRun::Impl::reportOf(Place &At, const std::string &State) {
  try {
    return At.Machine_.report(State);
  } catch (const HttpError &) {
    return 0;
  }
}

void SoakRun::Impl::killNode(Place &At) {
  At.Machine_.stop(SIGKILL);
  endLater(At.NodeBusy_, drawTime(0, 1500), [&At] { At.Machine_.start(); });
}

void SoakRun::Impl::stopNode(Place &At) {
  At.NodeBusy_ = true;
  At.Machine_.signalStop(SIGTERM);
  awaitStop(At, Clock_.now());
}

void SoakRun::Impl::awaitStop(Place &At, Millis Since) {
  later(Millis(50), [this, &At, Since] {
    if (At.Machine_.node().running()) {
      if (Clock_.now() - Since < StopTime)
        return awaitStop(At, Since);
      Ledger_.broken("node " + At.Machine_.ip() +
                     " did not exit in time after SIGTERM");
      At.Machine_.signalStop(SIGKILL);
    }
    int Code = At.Machine_.waitStopped();
    if (Code != 0)
      Ledger_.broken("node " + At.Machine_.ip() +
                     " exited after SIGTERM with code " + std::to_string(Code));
    At.Machine_.start();
    At.NodeBusy_ = false;
  });
}

void SoakRun::Impl::pauseNode(Place &At) {
  At.Machine_.node().pause();
  endLater(At.NodeBusy_, drawTime(50, 2500),
           [&At] { At.Machine_.node().resume(); });
}

void SoakRun::Impl::hangUp(Place &At) { At.Machine_.node().kill(SIGHUP); }

void SoakRun::Impl::storeDown(Place &) {
  Store_.setDown(true);
  endLater(StoreBusy_, drawTime(300, 4000), [this] { Store_.setDown(false); });
}

void SoakRun::Impl::storeLink(Place &At) {
  switch (draw(4)) {
  case 0:
    At.StoreLink_.cut(Which::Existing);
    break;
  case 1:
    At.StoreLink_.swallow(Direction::FromTarget, Which::Existing);
    break;
  case 2:
    At.StoreLink_.refuseNew(true);
    At.StoreLink_.cut(Which::Existing);
    break;
  default:
    At.StoreLink_.delay(drawTime(20, 400));
    break;
  }
  later(drawTime(500, 4000), [&At] { At.StoreLink_.heal(); });
}

void SoakRun::Impl::forgetHistory(Place &) { Store_.forgetHistory(); }

void SoakRun::Impl::changeConfig(Place &) { putConfig(); }

void SoakRun::Impl::putConfig() {
  ++Version_;
  Store_.put("config", platformConfiguration(Version_, serviceOf(Version_)));
}

void SoakRun::Impl::upstreamLink(Place &At) {
  switch (draw(5)) {
  case 0:
    At.UpstreamLink_.cut(Which::Existing);
    break;
  case 1:
    At.UpstreamLink_.swallow(Direction::FromTarget, Which::Existing);
    break;
  case 2:
    At.UpstreamLink_.swallow(Direction::ToTarget, Which::All);
    break;
  case 3:
    At.UpstreamLink_.cutAfterBytes(Direction::FromTarget, draw(400));
    break;
  default:
    At.UpstreamLink_.delay(drawTime(20, 600));
    break;
  }
  endLater(At.UpstreamBusy_, drawTime(300, 2500),
           [&At] { At.UpstreamLink_.heal(); });
}

void SoakRun::Impl::shed(Place &At) {
  At.Machine_.upstream().setShedding(true);
  endLater(At.UpstreamBusy_, drawTime(500, 2500),
           [&At] { At.Machine_.upstream().setShedding(false); });
}

// The node restarts without knowledge of its upstream and finds one whose
// health check fails although it serves.
void SoakRun::Impl::lieOnHealth(Place &At) {
  At.Machine_.upstream().setHealthAnswer(503);
  killNode(At);
  endLater(At.UpstreamBusy_, drawTime(2500, 4000),
           [&At] { At.Machine_.upstream().setHealthAnswer(200); });
}

// The node may be stopped, killed or paused while its upstream is leaving.
void SoakRun::Impl::leave(Place &At) {
  At.UpstreamBusy_ = true;
  At.State_ = "draining";
  At.Machine_.upstream().setHealthAnswer(503);
  if (!At.NodeBusy_ && reportOf(At, At.State_) == 200)
    checkDrain(At);
  later(LeavingTime + TickSpan, [this, &At] {
    ++At.Lives_;
    At.Machine_.upstream().startLife("i-" + At.Machine_.ip() + "-" +
                                         std::to_string(At.Lives_),
                                     Clock_.wallNow().whole());
    At.Machine_.upstream().setHealthAnswer(200);
    At.State_ = "ready";
    At.UpstreamBusy_ = false;
  });
}

void SoakRun::Impl::checkDrain(Place &At) {
  later(DrainTime, [this, &At] {
    size_t Before = At.Machine_.upstream().arrived();
    later(LeavingTime - DrainTime - TickSpan, [this, &At, Before] {
      size_t After = At.Machine_.upstream().arrived();
      if (After != Before)
        Ledger_.broken(
            std::to_string(After - Before) +
            " calls reached the leaving upstream after the drain time at " +
            At.Machine_.ip());
    });
  });
}

void SoakRun::Impl::settle() {
  while (!Due_.empty())
    tickUntil(Clock_.now() + TickSpan);
}

void SoakRun::Impl::checkRecovery() {
  constexpr int InARow = 10;
  Millis Until = Clock_.now() + RecoveryTime;
  for (auto &Each : Places_)
    for (int Good = 0, Tries = 0; Good < InARow; ++Tries) {
      if (Clock_.now() > Until)
        return Ledger_.broken("no recovery in time at " + Each->Machine_.ip());
      int Status = 0;
      try {
        Status = Each->Machine_
                     .call("GET", "/safe/recovered",
                           "recovery-" + std::to_string(Tries))
                     .Status_;
      } catch (const HttpError &) {
      }
      Good = Status == 200 ? Good + 1 : 0;
      tickUntil(Clock_.now() + TickSpan);
    }
}

// Each node must route calls by the newest configuration within the time to
// apply it.
void SoakRun::Impl::checkConfig() {
  constexpr Millis ApplyTime(2000);
  putConfig();
  tickUntil(Clock_.now() + ApplyTime);
  std::string Wanted = serviceOf(Version_);
  for (auto &Each : Places_) {
    std::string Id = "applied-" + Each->Machine_.ip();
    try {
      Each->Machine_.call("GET", "/safe/applied", Id);
    } catch (const HttpError &Error) {
      Ledger_.broken(std::string("call failed after recovery: ") +
                     Error.what());
    }
    size_t Alpha = Places_[0]->Machine_.runs(Id).size() +
                   Places_[1]->Machine_.runs(Id).size();
    size_t Beta = Places_[2]->Machine_.runs(Id).size();
    if ((Wanted == "alpha" ? Beta : Alpha) > 0)
      Ledger_.broken("configuration " + std::to_string(Version_) +
                     " has not been applied in time at " + Each->Machine_.ip());
  }
}

bool SoakRun::Impl::finish() {
  std::vector<PlatformUpstream::Run> Runs;
  for (auto &Each : Places_)
    for (auto &Run : Each->Machine_.upstream().runs())
      Runs.push_back(std::move(Run));
  Ledger_.check(Runs);
  auto Findings = Ledger_.findings();
  std::cout << "seed=" << Options_.Seed_
            << " verdict=" << (Findings.empty() ? "kept" : "broken") << ' '
            << Ledger_.counts() << " faults=" << Played_ << std::endl;
  for (const std::string &Each : Findings)
    std::cout << "  " << Each << std::endl;
  if (!Findings.empty())
    keepLogs();
  return Findings.empty();
}

void SoakRun::Impl::keepLogs() const {
  for (const auto &Each : Places_) {
    std::string File = Options_.Folder_ + "/seed-" +
                       std::to_string(Options_.Seed_) + "-" +
                       Each->Machine_.ip() + ".log";
    std::ofstream(File) << Each->Machine_.output();
    std::cout << "  log " << File << std::endl;
  }
}

SoakRun::SoakRun(const Options &Given) : Impl_(std::make_unique<Impl>(Given)) {}

SoakRun::~SoakRun() = default;

bool SoakRun::play() { return Impl_->play(); }

} // namespace coltsfoot
