#include "soakrun.h"

#include "faultproxy.h"
#include "platformmachine.h"
#include "platformstore.h"
#include "timer.h"

#include "coltsfootpoint/ipport.h"

#include <algorithm>
#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
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
constexpr Millis CallTimeout(4000);
constexpr Millis ReportInterval(300);
/// After a node has acknowledged that its upstream is leaving, it may still
/// send calls to it for this long.
constexpr Millis DrainTime(2000);
constexpr Millis LeavingTime(4000);
/// A node must exit within this time of SIGTERM.
constexpr Millis StopTime(7000);
/// All nodes must serve again within this time of the last fault's end.
constexpr Millis RecoveryTime(15000);
constexpr int ClientsPerMachine = 3;
/// The number of the store's address; the other numbers are machines.
constexpr int StoreNumber = 7;
/// How long after SIGTERM a node is told to be killed.
constexpr std::string_view KillAfter = "6s";
constexpr Millis LatestForeignStart(60'000);
constexpr Millis LongCallDeadline(5000);
constexpr Millis LongCallTimeout(9000);
/// A call sent within LastSafeSend of SIGTERM may be cut if its upstream still
/// works on it LongestWork after SIGTERM.
constexpr Millis LastSafeSend(3000);
constexpr Millis LongestWork(5000);
/// After this time without a fault, none excuses a lost call.
constexpr Millis SettleTime(3000);
constexpr Millis UpstreamServiceTime(15);
constexpr Millis TickInterval(20);

void sleepFor(Millis Time) { std::this_thread::sleep_for(toChrono(Time)); }

/// Returns the service to which this version of the configuration sends the
/// calls that may be repeated.
std::string repeatableCallsService(int Version) {
  return Version % 2 == 0 ? "beta" : "alpha";
}

/// Returns documents such as a faulty writer leaves: very deeply nested, with
/// numbers out of range, of wrong types, cut off or no JSON at all.
std::vector<std::string> oddDocuments() {
  constexpr size_t Depth = 100'000;
  std::string Nested = std::string(Depth, '[') + std::string(Depth, ']');
  auto WithAddress = [](const std::string &Address, const std::string &Number) {
    return R"({"service":"alpha","address":")" + Address +
           R"(","zone":"z","version":"v1","slots":)" + Number +
           R"(,"state":"ready","cold-remaining":"0ms","sequence":)" + Number +
           R"(,"born":)" + Number + "}";
  };
  return {"",
          "null",
          "\xff\xfe",
          Nested,
          R"({"version":)" + Nested + "}",
          R"({"version":1e999,"services":[],"virtual-hosts":[]})",
          R"({"version":99999999999999999999,"services":7})",
          R"({"version":-1,"services":[{}],"virtual-hosts":[{"paths":7}]})",
          R"({"version":)",
          WithAddress("127.0.0.1:99999", "8"),
          WithAddress("127.0.0.1:-1", "8"),
          WithAddress("no address", "8"),
          WithAddress("127.0.0.1:1", "1e400"),
          WithAddress("127.0.0.1:1", "-99999999999999999999")};
}

/// Returns a key as a faulty writer may choose it: empty, like one in use, of
/// control characters, or as long as keys can be.
std::string oddKey(uint64_t Number) {
  constexpr size_t LongestKey = 255;
  static const std::vector<std::string> Keys = {"", "config/", "\x01\x7f",
                                                std::string(LongestKey, 'k')};
  return Keys[Number % Keys.size()];
}

/// A machine whose connections to its upstream and to the store pass through
/// fault proxies, with the state of the faults at it.
struct FaultyMachine {
  FaultyMachine(int Number, const PlatformStore &Store,
                const std::string &Folder, const std::string &Service)
      : Service_(Service), StoreLink_(platformAddress(Number)),
        UpstreamLink_(platformAddress(Number)),
        Machine_(options(Number, Folder),
                 {.Service_ = Service, .Work_ = UpstreamServiceTime}) {
    setLinkTarget(StoreLink_, Store.address());
    setLinkTarget(UpstreamLink_, Machine_.upstream().address());
  }

  PlatformMachine::Options options(int Number, const std::string &Folder) {
    PlatformMachine::Options Options;
    Options.Number_ = Number;
    Options.Store_ = StoreLink_.address();
    Options.Folder_ = Folder;
    Options.Backend_ = UpstreamLink_.address();
    Options.Timeouts_ = deployedTimeouts();
    Options.KillAfter_ = KillAfter;
    return Options;
  }

  static void setLinkTarget(FaultProxy &Link, const std::string &Address) {
    IpPort Parsed = parseIpPort(Address).value();
    Link.setTarget(Parsed.Ip_, Parsed.Port_);
  }

  const std::string Service_;
  FaultProxy StoreLink_;
  FaultProxy UpstreamLink_;
  PlatformMachine Machine_;
  /// The state in the upstream's reports.
  std::string State_ = "ready";
  Millis NextReport_;
  int IncarnationCount_ = 1;
  /// When the node last got SIGTERM; far in the past before the first one.
  std::atomic<Millis> Terminated_ = Millis(-1e9);
  bool NodeFaultActive_ = false;     ///< A fault of the node is active.
  bool UpstreamFaultActive_ = false; ///< A fault of the upstream is active.
};

/// A call of a client.
struct ClientCall {
  std::string Id_;
  bool MayRepeat_ = false;
  Millis Work_; ///< How long a long call takes; zero for a short one.

  std::string target() const {
    if (Work_ > Millis())
      return "/long/x?work-ms=" + std::to_string(Work_.whole());
    return MayRepeat_ ? "/safe/x" : "/once/x";
  }
};

/// An action that is due at a time.
struct ScheduledAction {
  Millis Time_;
  std::function<void()> Action_;
};

} // namespace

class SoakRun::Impl {
public:
  explicit Impl(const Options &RunOptions)
      : Options_(RunOptions), Random_(RunOptions.Seed_),
        Store_(platformAddress(StoreNumber)) {
    std::filesystem::create_directories(Options_.Folder_);
    int Number = 0;
    for (int I = 1; I <= Options_.NodeCount_; ++I) {
      Number += Number + 1 == StoreNumber ? 2 : 1;
      Machines_.push_back(std::make_unique<FaultyMachine>(
          Number, Store_, Options_.Folder_, I % 3 == 0 ? "beta" : "alpha"));
    }
  }

  bool run();

private:
  using Fault = void (Impl::*)(FaultyMachine &);

  void startAll();
  void runClient(FaultyMachine &Target, int Number, std::stop_token Stop);
  ClientCall drawCall(const std::string &Id,
                      std::mt19937_64 &ClientRandom) const;
  void callOnce(HttpSession &Session, const ClientCall &Call);
  void recordUnanswered(const ClientCall &Call, Millis Sent,
                        const std::string &Outcome);
  bool mayBeCut(Millis Sent, Millis Ended) const;
  void injectFaults();
  void injectRandomFault();
  void endFaults();
  void stopInSeries();
  void checkRecovery();
  void checkConfig();
  void tickUntil(Millis Until);
  void reportAll();
  int reportOf(FaultyMachine &Target, const std::string &State);
  void schedule(Millis Delay, std::function<void()> Action);
  void scheduleEnd(bool &Active, Millis Delay, std::function<void()> End);
  void putConfig();
  std::string configuration() const;
  bool finish();
  void keepLogs() const;

  void killNode(FaultyMachine &Target);
  void restartInSeries(FaultyMachine &Target);
  void restart(FaultyMachine &Target, uint64_t TimesLeft);
  void changeInSeries(FaultyMachine &Target);
  void doPlannedWork(FaultyMachine &Target);
  void stopNode(FaultyMachine &Target);
  void awaitStop(FaultyMachine &Target, Millis Since);
  void pauseNode(FaultyMachine &Target);
  void sendHangup(FaultyMachine &Target);
  void stopStore(FaultyMachine &Target);
  void disturbStoreLink(FaultyMachine &Target);
  void compact(FaultyMachine &Target);
  void changeConfig(FaultyMachine &Target);
  void putOddRecords(FaultyMachine &Target);
  void sendOddReports(FaultyMachine &Target);
  std::string foreignReport(const FaultyMachine &Target);
  void disturbUpstreamLink(FaultyMachine &Target);
  void sendSurplusAnswers(FaultyMachine &Target);
  void shedRequests(FaultyMachine &Target);
  void failHealthCheck(FaultyMachine &Target);
  void drainUpstream(FaultyMachine &Target);

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
  std::vector<std::unique_ptr<FaultyMachine>> Machines_;
  SoakLedger Ledger_;
  std::vector<std::jthread> Clients_;
  std::vector<ScheduledAction> Scheduled_;
  std::string InjectedFaults_;
  int Version_ = 1;
  bool StoreFaultActive_ = false;
  std::atomic<bool> LongCalls_ = false;
  std::atomic<bool> PlannedWorkOnly_ = false;
};

std::string SoakRun::Impl::configuration() const {
  return platformConfiguration(
      Version_, repeatableCallsService(Version_),
      R"(,{"name":"r-long","path-prefix":"/long/","kind":"unsafe",)"
      R"("timeout":"6000ms","max-attempts":2,"service":"alpha"})");
}

bool SoakRun::Impl::run() {
  startAll();
  int Number = 0;
  for (auto &Each : Machines_)
    for (int I = 0; I < ClientsPerMachine; ++I)
      Clients_.emplace_back([this, &Target = *Each,
                             Client = ++Number](const std::stop_token &Stop) {
        runClient(Target, Client, Stop);
      });
  injectFaults();
  endFaults();
  stopInSeries();
  checkRecovery();
  checkConfig();
  for (auto &Each : Clients_)
    Each.request_stop();
  Clients_.clear();
  return finish();
}

void SoakRun::Impl::startAll() {
  Store_.put("config", configuration());
  for (auto &Each : Machines_)
    Each->Machine_.start();
  for (auto &Each : Machines_)
    reportOf(*Each, "ready");
  for (auto &Each : Machines_) {
    waitUntil([&] { return Each->Machine_.ready(); }, RecoveryTime, "ready");
    Each->Machine_.callUntilStatus(200, "/safe/warm");
  }
}

// A client uses one connection until it fails, also when the node announces
// that it closes it.
void SoakRun::Impl::runClient(FaultyMachine &Target, int Number,
                              std::stop_token Stop) {
  HttpSession Session(Target.Machine_.ip(), PlatformMachine::CallPort);
  Session.ignoreAnnouncedClose();
  std::mt19937_64 ClientRandom(Options_.Seed_ * 1000 +
                               static_cast<uint64_t>(Number));
  std::string Prefix =
      "s" + std::to_string(Options_.Seed_) + "-" + std::to_string(Number) + "-";
  for (int I = 0; !Stop.stop_requested(); ++I) {
    callOnce(Session, drawCall(Prefix + std::to_string(I), ClientRandom));
    sleepFor(Millis(static_cast<double>(5 + ClientRandom() % 25)));
  }
}

// Long calls are made only beside planned work, which must not cut them.
ClientCall SoakRun::Impl::drawCall(const std::string &Id,
                                   std::mt19937_64 &ClientRandom) const {
  constexpr uint64_t ShortestLongCallMs = 1000;
  constexpr uint64_t LongCallSpreadMs = 2500;
  ClientCall Call{Id, ClientRandom() % 2 == 0, {}};
  if (!LongCalls_ || Call.MayRepeat_)
    return Call;
  Call.Work_ = Millis(static_cast<double>(ShortestLongCallMs +
                                          ClientRandom() % LongCallSpreadMs));
  return Call;
}

void SoakRun::Impl::callOnce(HttpSession &Session, const ClientCall &Call) {
  bool IsLong = Call.Work_ > Millis();
  Millis Deadline = IsLong ? LongCallDeadline : CallDeadline;
  bool Planned = PlannedWorkOnly_;
  Millis Sent = Clock_.now();
  std::string Outcome;
  try {
    HttpReply Reply =
        Session.request(Call.MayRepeat_ ? "GET" : "POST", Call.target(),
                        PlatformMachine::callFields(Call.Id_, Deadline),
                        Call.MayRepeat_ ? "" : "body of " + Call.Id_,
                        IsLong ? LongCallTimeout : CallTimeout);
    Ledger_.recordAnswer(Call.Id_, Call.MayRepeat_, Reply);
    // A call whose deadline was reached, by waiting and work, is not lost.
    bool DeadlineReached =
        Reply.Status_ == 504 && Clock_.now() - Sent >= Deadline;
    if (!DeadlineReached && (Reply.Status_ == 502 || Reply.Status_ == 504))
      Outcome = "status " + std::to_string(Reply.Status_);
  } catch (const HttpError &Error) {
    Ledger_.recordNoAnswer(Call.Id_, Call.MayRepeat_);
    Outcome = Error.what();
  }
  if (Planned && !Outcome.empty())
    recordUnanswered(Call, Sent, Outcome);
}

void SoakRun::Impl::recordUnanswered(const ClientCall &Call, Millis Sent,
                                     const std::string &Outcome) {
  Millis Ended = Clock_.now();
  if (mayBeCut(Sent, Ended))
    return;
  std::string Details = Outcome + ", work " +
                        std::to_string(Call.Work_.whole()) + " ms, took " +
                        std::to_string((Ended - Sent).whole()) + " ms";
  for (const auto &Each : Machines_)
    Details += ", sent " +
               std::to_string((Sent - Each->Terminated_.load()).whole()) +
               " ms after SIGTERM at " + Each->Machine_.ip();
  Ledger_.recordUnanswered(Call.Id_, Details);
}

bool SoakRun::Impl::mayBeCut(Millis Sent, Millis Ended) const {
  return std::any_of(Machines_.begin(), Machines_.end(), [&](const auto &Each) {
    Millis Terminated = Each->Terminated_;
    return Sent >= Terminated && Sent - Terminated <= LastSafeSend &&
           Ended - Terminated >= LongestWork;
  });
}

void SoakRun::Impl::injectFaults() {
  for (int I = 0; I < Options_.FaultCount_; ++I) {
    injectRandomFault();
    tickUntil(Clock_.now() + drawTime(50, 900));
  }
}

void SoakRun::Impl::injectRandomFault() {
  struct Kind {
    const char *Name_;
    Fault Inject_;
    bool AffectsNode_;
    bool AffectsUpstream_;
    bool AffectsStore_;
  };
  static const std::vector<Kind> Kinds = {
      {"kill", &Impl::killNode, true, false, false},
      {"restarts", &Impl::restartInSeries, true, false, false},
      {"changes", &Impl::changeInSeries, false, false, true},
      {"stop", &Impl::stopNode, true, false, false},
      {"pause", &Impl::pauseNode, true, false, false},
      {"hup", &Impl::sendHangup, true, false, false},
      {"store-down", &Impl::stopStore, false, false, true},
      {"store-link", &Impl::disturbStoreLink, false, false, false},
      {"history", &Impl::compact, false, false, false},
      {"config", &Impl::changeConfig, false, false, true},
      {"odd-records", &Impl::putOddRecords, false, false, true},
      {"odd-reports", &Impl::sendOddReports, true, false, false},
      {"upstream-link", &Impl::disturbUpstreamLink, false, true, false},
      {"surplus-answers", &Impl::sendSurplusAnswers, false, true, false},
      {"shed", &Impl::shedRequests, false, true, false},
      {"health", &Impl::failHealthCheck, true, true, false},
      {"leave", &Impl::drainUpstream, false, true, false}};
  const Kind &Chosen = Kinds[draw(Kinds.size())];
  FaultyMachine &Target = *Machines_[draw(Machines_.size())];
  // The end of one fault would also end another one of the same node, upstream
  // or store, so that each of these has only one active fault at a time.
  if ((Chosen.AffectsNode_ && Target.NodeFaultActive_) ||
      (Chosen.AffectsUpstream_ && Target.UpstreamFaultActive_) ||
      (Chosen.AffectsStore_ && StoreFaultActive_))
    return;
  InjectedFaults_ +=
      std::string(InjectedFaults_.empty() ? "" : ",") + Chosen.Name_;
  (this->*Chosen.Inject_)(Target);
}

void SoakRun::Impl::schedule(Millis Delay, std::function<void()> Action) {
  Scheduled_.push_back({Clock_.now() + Delay, std::move(Action)});
}

// Schedules the end of a fault. While Active is set, no other fault of the same
// node, upstream or store is injected.
void SoakRun::Impl::scheduleEnd(bool &Active, Millis Delay,
                                std::function<void()> End) {
  Active = true;
  schedule(Delay, [&Active, End = std::move(End)] {
    End();
    Active = false;
  });
}

void SoakRun::Impl::tickUntil(Millis Until) {
  while (Clock_.now() < Until) {
    // An action may schedule further ones, which invalidates iterators.
    for (size_t I = 0; I < Scheduled_.size();) {
      if (Scheduled_[I].Time_ > Clock_.now()) {
        ++I;
        continue;
      }
      auto Action = std::move(Scheduled_[I].Action_);
      Scheduled_.erase(Scheduled_.begin() + static_cast<std::ptrdiff_t>(I));
      Action();
    }
    reportAll();
    for (auto &Each : Machines_)
      if (Each->Machine_.exitedUnexpectedly()) {
        Ledger_.addViolation("node " + Each->Machine_.ip() +
                             " exited without a signal from the test");
        Each->Machine_.start();
      }
    sleepFor(TickInterval);
  }
}

void SoakRun::Impl::reportAll() {
  for (auto &Each : Machines_) {
    if (Clock_.now() < Each->NextReport_ || Each->NodeFaultActive_)
      continue;
    Each->NextReport_ = Clock_.now() + ReportInterval;
    reportOf(*Each, Each->State_);
  }
}

/// Returns the status of the answer, or 0 when there was none.
int SoakRun::Impl::reportOf(FaultyMachine &Target, const std::string &State) {
  try {
    return Target.Machine_.report(State);
  } catch (const HttpError &) {
    return 0;
  }
}

void SoakRun::Impl::killNode(FaultyMachine &Target) {
  Target.Machine_.stop(SIGKILL);
  scheduleEnd(Target.NodeFaultActive_, drawTime(0, 1500),
              [&Target] { Target.Machine_.start(); });
}

void SoakRun::Impl::restartInSeries(FaultyMachine &Target) {
  Target.NodeFaultActive_ = true;
  restart(Target, 2 + draw(3));
}

void SoakRun::Impl::restart(FaultyMachine &Target, uint64_t TimesLeft) {
  Target.Machine_.stop(SIGKILL);
  schedule(drawTime(0, 300), [this, &Target, TimesLeft] {
    Target.Machine_.start();
    if (TimesLeft == 0) {
      Target.NodeFaultActive_ = false;
      return;
    }
    schedule(drawTime(0, 400),
             [this, &Target, TimesLeft] { restart(Target, TimesLeft - 1); });
  });
}

// Signals and configurations come in quick succession, also while the node is
// stopped or starts.
void SoakRun::Impl::changeInSeries(FaultyMachine &Target) {
  for (uint64_t Left = 4 + draw(8); Left > 0; --Left) {
    schedule(drawTime(0, 1500), [this] { putConfig(); });
    schedule(drawTime(0, 1500), [this, &Target] { sendHangup(Target); });
  }
}

void SoakRun::Impl::stopNode(FaultyMachine &Target) {
  Target.NodeFaultActive_ = true;
  Target.Terminated_ = Clock_.now();
  Target.Machine_.signalStop(SIGTERM);
  awaitStop(Target, Clock_.now());
}

void SoakRun::Impl::awaitStop(FaultyMachine &Target, Millis Since) {
  schedule(Millis(50), [this, &Target, Since] {
    if (Target.Machine_.node().running()) {
      if (Clock_.now() - Since < StopTime)
        return awaitStop(Target, Since);
      Ledger_.addViolation("node " + Target.Machine_.ip() +
                           " did not exit in time after SIGTERM");
      Target.Machine_.signalStop(SIGKILL);
    }
    int Code = Target.Machine_.waitStopped();
    if (Code != 0)
      Ledger_.addViolation("node " + Target.Machine_.ip() +
                           " exited after SIGTERM with code " +
                           std::to_string(Code));
    Target.Machine_.start();
    Target.NodeFaultActive_ = false;
  });
}

void SoakRun::Impl::pauseNode(FaultyMachine &Target) {
  Target.Machine_.node().pause();
  scheduleEnd(Target.NodeFaultActive_, drawTime(50, 2500),
              [&Target] { Target.Machine_.node().resume(); });
}

void SoakRun::Impl::sendHangup(FaultyMachine &Target) {
  Target.Machine_.node().kill(SIGHUP);
}

void SoakRun::Impl::stopStore(FaultyMachine &) {
  Store_.setDown(true);
  scheduleEnd(StoreFaultActive_, drawTime(300, 4000),
              [this] { Store_.setDown(false); });
}

void SoakRun::Impl::disturbStoreLink(FaultyMachine &Target) {
  switch (draw(4)) {
  case 0:
    Target.StoreLink_.disconnect(ConnectionSet::Existing);
    break;
  case 1:
    Target.StoreLink_.blackhole(Direction::FromTarget, ConnectionSet::Existing);
    break;
  case 2:
    Target.StoreLink_.refuseNew(true);
    Target.StoreLink_.disconnect(ConnectionSet::Existing);
    break;
  default:
    Target.StoreLink_.delay(drawTime(20, 400));
    break;
  }
  schedule(drawTime(500, 4000), [&Target] { Target.StoreLink_.heal(); });
}

void SoakRun::Impl::compact(FaultyMachine &) { Store_.compact(); }

void SoakRun::Impl::changeConfig(FaultyMachine &) { putConfig(); }

void SoakRun::Impl::putConfig() {
  ++Version_;
  Store_.put("config", configuration());
}

// Another writer leaves odd records, also in place of the configuration. A
// later configuration must come into force.
void SoakRun::Impl::putOddRecords(FaultyMachine &) {
  std::vector<std::string> Values = oddDocuments();
  Store_.put("config", Values[draw(Values.size())]);
  for (const std::string &Each : Values)
    Store_.put(oddKey(Random_()), Each);
  scheduleEnd(StoreFaultActive_, drawTime(100, 1000), [this] { putConfig(); });
}

// Another writer sends odd reports, and one that is whole.
void SoakRun::Impl::sendOddReports(FaultyMachine &Target) {
  std::vector<std::string> Documents = oddDocuments();
  Documents.push_back(foreignReport(Target));
  for (const std::string &Each : Documents)
    for (const std::string &Instance :
         {std::string("odd"), Target.Machine_.upstream().instance()}) {
      try {
        request(Target.Machine_.ip(), PlatformMachine::ReportPort, "POST",
                "/instances/" + Instance + "/heartbeat", {}, Each);
      } catch (const HttpError &) {
      }
    }
}

/// Returns a ready report with another start, sequence number and perhaps
/// service than the upstream's.
std::string SoakRun::Impl::foreignReport(const FaultyMachine &Target) {
  Millis Start = Clock_.wallNow() + drawTime(0, LatestForeignStart.whole());
  boost::json::object Body{
      {"service", draw(2) == 0 ? std::string("none") : Target.Service_},
      {"address", Target.UpstreamLink_.address()},
      {"zone", "z"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold-remaining", "0ms"},
      {"sequence", draw(1'000'000)},
      {"born", Start.whole()}};
  return boost::json::serialize(Body);
}

void SoakRun::Impl::disturbUpstreamLink(FaultyMachine &Target) {
  switch (draw(5)) {
  case 0:
    Target.UpstreamLink_.disconnect(ConnectionSet::Existing);
    break;
  case 1:
    Target.UpstreamLink_.blackhole(Direction::FromTarget,
                                   ConnectionSet::Existing);
    break;
  case 2:
    Target.UpstreamLink_.blackhole(Direction::ToTarget, ConnectionSet::All);
    break;
  case 3:
    Target.UpstreamLink_.disconnectAfterBytes(Direction::FromTarget, draw(400));
    break;
  default:
    Target.UpstreamLink_.delay(drawTime(20, 600));
    break;
  }
  scheduleEnd(Target.UpstreamFaultActive_, drawTime(300, 2500),
              [&Target] { Target.UpstreamLink_.heal(); });
}

// The upstream writes an earlier refusal again and again on its connections,
// between and during other requests, with or without the id of its call.
void SoakRun::Impl::sendSurplusAnswers(FaultyMachine &Target) {
  constexpr int Times = 40;
  const std::string EarlierId = draw(2) == 0 ? "Attempt-Id: earlier\r\n" : "";
  const std::string Refusal =
      "HTTP/1.1 503 Service Unavailable\r\n" + EarlierId +
      "Instance-Id: " + Target.Machine_.upstream().instance() +
      "\r\nServer-Load: 0,0,8\r\nRequest-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  Millis Duration = drawTime(300, 2500);
  for (int I = 0; I < Times; ++I)
    schedule(Duration * (static_cast<double>(I) / Times),
             [&Target, Refusal] { Target.UpstreamLink_.sendToPeers(Refusal); });
  scheduleEnd(Target.UpstreamFaultActive_, Duration, [] {});
}

void SoakRun::Impl::shedRequests(FaultyMachine &Target) {
  Target.Machine_.upstream().setShedding(true);
  scheduleEnd(Target.UpstreamFaultActive_, drawTime(500, 2500),
              [&Target] { Target.Machine_.upstream().setShedding(false); });
}

// The node restarts without knowledge of its upstream and finds one whose
// health check fails although it serves.
void SoakRun::Impl::failHealthCheck(FaultyMachine &Target) {
  Target.Machine_.upstream().setHealthStatus(503);
  killNode(Target);
  scheduleEnd(Target.UpstreamFaultActive_, drawTime(2500, 4000),
              [&Target] { Target.Machine_.upstream().setHealthStatus(200); });
}

// The node may be stopped, killed or paused while its upstream is leaving.
void SoakRun::Impl::drainUpstream(FaultyMachine &Target) {
  Target.UpstreamFaultActive_ = true;
  Target.State_ = "draining";
  Target.Machine_.upstream().setHealthStatus(503);
  if (!Target.NodeFaultActive_ && reportOf(Target, Target.State_) == 200)
    Ledger_.recordLeaving(Target.Machine_.upstream().instance(), Clock_.now());
  schedule(LeavingTime + TickInterval, [this, &Target] {
    ++Target.IncarnationCount_;
    Target.Machine_.upstream().startIncarnation(
        "i-" + Target.Machine_.ip() + "-" +
            std::to_string(Target.IncarnationCount_),
        Clock_.wallNow().whole());
    Target.Machine_.upstream().setHealthStatus(200);
    Target.State_ = "ready";
    Target.UpstreamFaultActive_ = false;
  });
}

void SoakRun::Impl::endFaults() {
  while (!Scheduled_.empty())
    tickUntil(Clock_.now() + TickInterval);
}

void SoakRun::Impl::doPlannedWork(FaultyMachine &Target) {
  switch (draw(4)) {
  case 0:
    return sendHangup(Target);
  case 1:
    return changeInSeries(Target);
  default:
    if (!Target.NodeFaultActive_)
      stopNode(Target);
  }
}

// Stops, signals and changes overlap each other, and long calls are running
// meanwhile. Other faults would excuse a lost call, so there are none.
void SoakRun::Impl::stopInSeries() {
  constexpr int PlannedStepCount = 10;
  LongCalls_ = true;
  tickUntil(Clock_.now() + SettleTime);
  PlannedWorkOnly_ = true;
  for (int I = 0; I < PlannedStepCount; ++I) {
    doPlannedWork(*Machines_[draw(Machines_.size())]);
    tickUntil(Clock_.now() + drawTime(0, 1500));
  }
  endFaults();
}

void SoakRun::Impl::checkRecovery() {
  constexpr int RequiredSuccesses = 10;
  Millis Until = Clock_.now() + RecoveryTime;
  for (auto &Each : Machines_)
    for (int Successes = 0, Tries = 0; Successes < RequiredSuccesses; ++Tries) {
      if (Clock_.now() > Until)
        return Ledger_.addViolation("no recovery in time at " +
                                    Each->Machine_.ip());
      int Status = 0;
      try {
        Status = Each->Machine_
                     .call("GET", "/safe/recovered",
                           "recovery-" + std::to_string(Tries))
                     .Status_;
      } catch (const HttpError &) {
      }
      Successes = Status == 200 ? Successes + 1 : 0;
      tickUntil(Clock_.now() + TickInterval);
    }
}

// Each node must route calls by the newest configuration within ApplyTime.
void SoakRun::Impl::checkConfig() {
  constexpr Millis ApplyTime(2000);
  putConfig();
  tickUntil(Clock_.now() + ApplyTime);
  std::string ExpectedService = repeatableCallsService(Version_);
  for (auto &Each : Machines_) {
    std::string Id = "applied-" + Each->Machine_.ip();
    try {
      Each->Machine_.call("GET", "/safe/applied", Id);
    } catch (const HttpError &Error) {
      Ledger_.addViolation(std::string("call failed after recovery: ") +
                           Error.what());
    }
    bool RanElsewhere =
        std::any_of(Machines_.begin(), Machines_.end(), [&](const auto &Other) {
          return Other->Service_ != ExpectedService &&
                 !Other->Machine_.runs(Id).empty();
        });
    if (RanElsewhere)
      Ledger_.addViolation("configuration " + std::to_string(Version_) +
                           " has not been applied in time at " +
                           Each->Machine_.ip());
  }
}

bool SoakRun::Impl::finish() {
  std::vector<PlatformUpstream::Run> Runs;
  for (auto &Each : Machines_) {
    for (auto &Run : Each->Machine_.upstream().runs())
      Runs.push_back(std::move(Run));
    Ledger_.checkLeaving(Each->Machine_.upstream().requests(), DrainTime);
  }
  Ledger_.check(Runs);
  auto Violations = Ledger_.violations();
  std::cout << "seed=" << Options_.Seed_
            << " verdict=" << (Violations.empty() ? "kept" : "broken") << ' '
            << Ledger_.countsByStatus() << " faults=" << InjectedFaults_
            << std::endl;
  for (const std::string &Each : Violations)
    std::cout << "  " << Each << std::endl;
  if (!Violations.empty())
    keepLogs();
  return Violations.empty();
}

void SoakRun::Impl::keepLogs() const {
  for (const auto &Each : Machines_) {
    std::string File = Options_.Folder_ + "/seed-" +
                       std::to_string(Options_.Seed_) + "-" +
                       Each->Machine_.ip() + ".log";
    std::ofstream(File) << Each->Machine_.output();
    std::cout << "  log " << File << std::endl;
  }
}

SoakRun::SoakRun(const Options &RunOptions)
    : Impl_(std::make_unique<Impl>(RunOptions)) {}

SoakRun::~SoakRun() = default;

bool SoakRun::run() { return Impl_->run(); }

} // namespace coltsfoot
