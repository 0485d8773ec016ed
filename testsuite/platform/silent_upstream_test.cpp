/// Upstreams of the platform that never answer a request that they can't queue.

#include "httpclient.h"
#include "platformmachine.h"
#include "platformstore.h"
#include "rawupstream.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <future>
#include <vector>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
constexpr int Slots = 8; // PlatformUpstream::Options::Slots_
constexpr std::chrono::milliseconds WorkTime{40};

/// Counts requests in progress.
class Gauge {
public:
  void enter() {
    int Now = ++Running_;
    int Most = Most_;
    while (Now > Most && !Most_.compare_exchange_weak(Most, Now)) {
    }
  }
  void leave() { --Running_; }
  int running() const { return Running_; }
  int most() const { return Most_; }

private:
  std::atomic<int> Running_ = 0;
  std::atomic<int> Most_ = 0;
};

/// A machine of service alpha whose upstream never answers what exceeds its
/// slots nor what has an id that begins with "silent", and one of beta.
class SilentSite {
public:
  SilentSite()
      : Store_(platformAddress(7)),
        Upstream_("i-1", [this](RawSocket &Socket, const std::string &Head) {
          respond(Socket, Head);
        }) {
    Folder_ = std::filesystem::temp_directory_path() /
              ("coltsfoot-silent-" + std::to_string(getpid()));
    std::filesystem::create_directories(Folder_);
    Store_.put("config", platformConfiguration(1, "alpha"));
    for (int Number : {1, 2}) {
      PlatformMachine::Options Options;
      Options.Number_ = Number;
      Options.Store_ = Store_.address();
      Options.Folder_ = Folder_;
      Options.Backend_ = Number == 1 ? Upstream_.address() : std::string();
      PlatformUpstream::Options Upstream;
      Upstream.Service_ = Number == 1 ? "alpha" : "beta";
      Machines_.push_back(std::make_unique<PlatformMachine>(Options, Upstream));
      Machines_.back()->start();
    }
    for (auto &Each : Machines_)
      awaitReady(*Each);
    entry().callUntilStatus(200, "/safe/warm");
  }
  ~SilentSite() { std::filesystem::remove_all(Folder_); }
  SilentSite(const SilentSite &) = delete;
  SilentSite &operator=(const SilentSite &) = delete;

  /// Returns the machine beside the silent upstream.
  PlatformMachine &gate() { return *Machines_[0]; }
  /// Returns the machine through which callers enter.
  PlatformMachine &entry() { return *Machines_[1]; }
  static void awaitReady(PlatformMachine &Machine) {
    Machine.report();
    waitUntil([&] { return Machine.ready(); }, WaitLimit, "the node is ready");
  }
  const Gauge &served() const { return Served_; }
  int silent() const { return Silent_; }

  /// Makes calls at once and returns their statuses; -1 for a call whose
  /// connection ended without an answer.
  std::vector<int> callAtOnce(PlatformMachine &Entry, int Count,
                              const std::string &Prefix) {
    std::vector<std::future<int>> Sent;
    Sent.reserve(size_t(Count));
    for (int I = 0; I < Count; ++I)
      Sent.push_back(std::async(std::launch::async, [&Entry, Prefix, I] {
        try {
          return Entry.call("GET", "/safe/x", Prefix + std::to_string(I))
              .Status_;
        } catch (const HttpError &) {
          return -1;
        }
      }));
    std::vector<int> Statuses;
    Statuses.reserve(Sent.size());
    for (auto &Each : Sent)
      Statuses.push_back(Each.get());
    return Statuses;
  }

private:
  void respond(RawSocket &Socket, const std::string &Head) {
    std::string Id = RawUpstream::field(Head, "Attempt-Id");
    Served_.enter();
    if (Id.starts_with("silent") || Served_.running() > Slots) {
      ++Silent_;
      Socket.closesSilently();
      Served_.leave();
      return;
    }
    std::this_thread::sleep_for(WorkTime);
    Served_.leave();
    Socket.send(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nServer-Signature: s\r\n"
        "Attempt-Id: " +
        Id + "\r\nContent-Length: 0\r\n\r\n");
  }

  PlatformStore Store_;
  std::filesystem::path Folder_;
  Gauge Served_;
  std::atomic<int> Silent_ = 0;
  RawUpstream Upstream_;
  std::vector<std::unique_ptr<PlatformMachine>> Machines_;
};

} // namespace

TEST_CASE("no more requests than an upstream has slots are sent to it, also "
          "through a restart of its node") {
  SilentSite Site;
  for (int Status : Site.callAtOnce(Site.entry(), 40, "before-")) {
    CAPTURE(Status);
    CHECK((Status == 200 || Status == 503));
  }
  auto Interrupted = std::async(std::launch::async, [&] {
    return Site.callAtOnce(Site.entry(), 20, "interrupted-");
  });
  waitUntil([&] { return Site.served().running() > 0; }, WaitLimit,
            "calls are running");
  Site.gate().stop(SIGKILL);
  Site.gate().start();
  SilentSite::awaitReady(Site.gate());
  Interrupted.wait();
  Site.entry().callUntilStatus(200, "/safe/again");
  for (int Status : Site.callAtOnce(Site.entry(), 40, "after-")) {
    CAPTURE(Status);
    CHECK((Status == 200 || Status == 503));
  }
  CHECK(Site.served().most() <= Slots);
  CHECK(Site.silent() == 0);
}

TEST_CASE("a request that stays unanswered neither closes the gate nor keeps "
          "its slot") {
  SilentSite Site;
  PlatformMachine &Entry = Site.entry();
  constexpr int Unanswered = 4;
  constexpr Millis Deadline(1500);
  std::vector<std::future<HttpReply>> Sent;
  Sent.reserve(Unanswered);
  for (int I = 0; I < Unanswered; ++I)
    Sent.push_back(std::async(std::launch::async, [&Entry, Deadline, I] {
      std::string Id = "silent-" + std::to_string(I);
      const char *Method = I % 2 == 0 ? "GET" : "POST";
      const char *Target = I % 2 == 0 ? "/safe/x" : "/once/x";
      return request(Entry.ip(), PlatformMachine::CallPort, Method, Target,
                     PlatformMachine::callFields(Id, Deadline));
    }));
  waitUntil([&] { return Site.silent() == Unanswered; }, WaitLimit,
            "the requests wait");
  for (int I = 0; I < 20; ++I)
    CHECK(Entry.call("GET", "/safe/x", "beside-" + std::to_string(I)).Status_ ==
          200);
  for (auto &Each : Sent) {
    HttpReply Reply = Each.get();
    // The request may have run, so neither may be answered as not run.
    CHECK((Reply.Status_ == 502 || Reply.Status_ == 504));
  }
  // A non-idempotent request is not broken off before attempt_ms.
  waitUntil([&] { return Site.served().running() == 0; }, WaitLimit,
            "the slots are free");
  for (int Status : Site.callAtOnce(Entry, Slots, "later-"))
    CHECK(Status == 200);
  CHECK(Site.silent() == Unanswered);
}
