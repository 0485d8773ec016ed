/// Many clients come at once and send long bodies, within the limits.

#include "site.h"

#include <algorithm>
#include <set>
#include <stdexcept>

using namespace review;

namespace {

/// `memory-mb` of the users' machines. The platform kills a process that
/// exceeds it.
constexpr double MemoryLimitMb = 260 * 1.048576;
/// Below the `max-body-bytes` of the configuration, which is 64 MiB.
constexpr size_t BodyBytes = size_t{16} * 1024 * 1024;
constexpr size_t UsualUploaders = 4;
/// 2.5 times the usual ones.
constexpr size_t BurstUploaders = 10;
constexpr size_t Readers = 10;
constexpr Milliseconds Deadline(5000);
constexpr Milliseconds RestartDelay(500);
constexpr std::chrono::seconds UsualTime(8);
constexpr std::chrono::seconds BurstTime(5);

/// Kills a node whose memory exceeds the limit and starts it again, as the
/// platform does.
class MemoryGuard {
public:
  MemoryGuard(Site &Machines, Record &Log)
      : Machines_(Machines), Log_(Log), Thread_([this] { run(); }) {}
  ~MemoryGuard() { stop(); }
  MemoryGuard(const MemoryGuard &) = delete;
  MemoryGuard &operator=(const MemoryGuard &) = delete;

  void stop() {
    Stopped_ = true;
    if (Thread_.joinable())
      Thread_.join();
  }
  int kills() const { return Kills_; }
  double peakMb() const { return PeakMb_; }

private:
  void run() {
    constexpr Milliseconds Interval(3);
    while (!Stopped_) {
      for (size_t I = 0; I < Machines_.size(); ++I)
        check(Machines_.node(I));
      std::this_thread::sleep_for(Interval);
    }
  }

  void check(Node &Each) {
    double Mb = Each.memoryMb();
    PeakMb_ = std::max(PeakMb_.load(), Mb);
    if (Mb <= MemoryLimitMb)
      return;
    ++Kills_;
    Log_.say("node " + Each.ip() + " holds " +
             std::to_string(static_cast<int>(Mb)) +
             " MB and is killed by the platform");
    Each.kill();
    std::this_thread::sleep_for(RestartDelay);
    Each.start();
  }

  Site &Machines_;
  Record &Log_;
  std::atomic<bool> Stopped_ = false;
  std::atomic<int> Kills_ = 0;
  std::atomic<double> PeakMb_ = 0;
  std::thread Thread_; // last, so that it starts last
};

/// The clients of the first machine.
class Clients {
public:
  explicit Clients(Site &Machines)
      : Machines_(Machines), Body_(BodyBytes, 'x') {}

  void add(size_t Count, bool Uploads, Clock::time_point Until) {
    for (size_t I = 0; I < Count; ++I)
      Threads_.emplace_back([this, Uploads, Until] { run(Uploads, Until); });
  }

  std::vector<Attempt> finish() {
    for (std::thread &Each : Threads_)
      Each.join();
    return Attempts_;
  }

private:
  void run(bool Uploads, Clock::time_point Until) {
    Caller Client = Machines_.caller(0);
    while (Clock::now() < Until) {
      std::string Id =
          (Uploads ? "upload-" : "read-") + std::to_string(++Count_);
      Attempt Done =
          Uploads ? Client.call("POST", "/alpha-once/x", Id, Deadline, Body_)
                  : Client.call("GET", "/alpha/x", Id, Deadline);
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        Attempts_.push_back(Done);
      }
      if (Done.Status_ != 200)
        std::this_thread::sleep_for(Milliseconds(500));
    }
  }

  Site &Machines_;
  const std::string Body_;
  std::atomic<int> Count_ = 0;
  std::mutex Mutex_;
  std::vector<Attempt> Attempts_;
  std::vector<std::thread> Threads_;
};

int play(const Setting &Given) {
  Record &Log = Given.Record_;
  Site::Options Wanted;
  Wanted.Services_ = {"alpha", "beta", "beta"};
  Wanted.Work_ = Milliseconds(290);
  Wanted.Slots_ = 71;
  Site Machines(Given, Wanted);
  Machines.start();
  MemoryGuard Platform(Machines, Log);
  Clients Traffic(Machines);
  auto End = Clock::now() + UsualTime + BurstTime;
  Traffic.add(Readers, false, End);
  Traffic.add(UsualUploaders, true, End);
  std::this_thread::sleep_for(UsualTime);
  Log.say("kills until now: " + std::to_string(Platform.kills()));
  if (Given.Trouble_) {
    Log.say("burst: 2.5 times the uploads");
    Traffic.add(BurstUploaders - UsualUploaders, true, End);
  }
  std::vector<Attempt> Attempts = Traffic.finish();
  Platform.stop();

  std::set<std::string> Ran;
  for (size_t I = 0; I < Machines.size(); ++I)
    for (const Upstream::Run &Each : Machines.upstream(I).runs())
      Ran.insert(Each.Attempt_);
  int Lost = 0;
  for (const Attempt &Each : Attempts) {
    bool PassedOn = Ran.contains(Each.Id_);
    Lost += Each.Status_ == 0 && Each.Kept_ && PassedOn ? 1 : 0;
  }
  auto Served =
      std::count_if(Attempts.begin(), Attempts.end(),
                    [](const Attempt &Each) { return Each.Status_ == 200; });
  Log.say("requests sent: " + std::to_string(Attempts.size()) +
          ", answered with success: " + std::to_string(Served));
  Log.say("most memory of a node: " +
          std::to_string(static_cast<int>(Platform.peakMb())) +
          " MB, kills by the platform: " + std::to_string(Platform.kills()));
  Log.say("requests from kept connections that an upstream ran and whose "
          "connection ended without an answer: " +
          std::to_string(Lost));
  constexpr int Allowed = 3;
  Log.say(Lost > Allowed ? "LOST is broken" : "LOST held");
  return Lost > Allowed ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
