/// Calls that a stopping node of the platform has taken.

#include "platformmachine.h"
#include "platformstore.h"
#include "rawupstream.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <future>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
/// So long that a second attempt would not end before the drain does.
constexpr std::chrono::milliseconds TimeToRefuse{1200};
constexpr std::chrono::milliseconds TimeToRun{1500};
/// Much less than the time until the drain cuts what is left.
constexpr Millis AnswerLimit(1800);

} // namespace

TEST_CASE("a stopping node tells not-run at once when the only gate that was "
          "offered the call refused it") {
  RawUpstream Refusing("i-1", [](RawSocket &Socket, const std::string &Head) {
    std::string Id = RawUpstream::field(Head, "Attempt-Id");
    bool Refused = Id.starts_with("stop-");
    if (Refused)
      std::this_thread::sleep_for(TimeToRefuse);
    else if (Head.starts_with("POST "))
      std::this_thread::sleep_for(TimeToRun);
    Socket.send((Refused ? "HTTP/1.1 503 Full\r\nRequest-Not-Executed: 1\r\n"
                         : "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n") +
                ("Attempt-Id: " + Id + "\r\nContent-Length: 0\r\n\r\n"));
  });
  PlatformStore Store(platformAddress(7));
  Store.put("config", platformConfiguration(1, "alpha"));
  auto Folder = std::filesystem::temp_directory_path() /
                ("coltsfoot-stop-" + std::to_string(getpid()));
  std::filesystem::create_directories(Folder);
  std::vector<std::unique_ptr<PlatformMachine>> Machines;
  for (int Number : {1, 2, 3}) {
    PlatformMachine::Options Options;
    Options.Number_ = Number;
    Options.Store_ = Store.address();
    Options.Folder_ = Folder;
    Options.Backend_ = Number == 1 ? Refusing.address() : std::string();
    Options.Timeouts_ = "drain_notice_ms = 600\ndrain_ms = 2700\n";
    PlatformUpstream::Options Upstream;
    Upstream.Service_ = Number == 3 ? "beta" : "alpha";
    Machines.push_back(std::make_unique<PlatformMachine>(Options, Upstream));
    Machines.back()->start();
  }
  PlatformMachine &Paused = *Machines[1];
  PlatformMachine &Entry = *Machines[2];
  for (auto &Each : Machines) {
    Each->report();
    waitUntil([&] { return Each->ready(); }, WaitLimit, "the node is ready");
  }
  waitUntil(
      [&] {
        Entry.call("GET", "/safe/warm", "warm");
        return Refusing.received("warm") && !Paused.runs("warm").empty();
      },
      WaitLimit, "calls reach both upstreams of alpha");
  // The entry learns how long the calls take.
  for (const char *Id : {"learn-1", "learn-2"})
    CHECK(Entry.call("POST", "/once/x?work-ms=1500", Id).Status_ == 200);
  Paused.node().pause();
  Entry.signalStop(SIGTERM);
  SystemClock Clock;
  struct Outcome {
    int Status_ = 0;
    Millis Took_;
  };
  constexpr size_t Calls = 8;
  std::vector<std::future<Outcome>> Sent;
  Sent.reserve(Calls);
  for (size_t I = 0; I < Calls; ++I)
    Sent.push_back(std::async(std::launch::async, [&, I] {
      Millis Start = Clock.now();
      int Status =
          Entry.call("POST", "/once/x", "stop-" + std::to_string(I)).Status_;
      return Outcome{Status, Clock.now() - Start};
    }));
  size_t Refused = 0;
  for (size_t I = 0; I < Calls; ++I) {
    Outcome Got = Sent[I].get();
    // A call whose first candidate is paused reaches no upstream.
    if (!Refusing.received("stop-" + std::to_string(I)))
      continue;
    ++Refused;
    CHECK(Got.Status_ == 503);
    CHECK(Got.Took_ < AnswerLimit);
  }
  CHECK(Refused > 0);
  Paused.node().resume();
  CHECK(Entry.waitStopped() == 0);
  std::filesystem::remove_all(Folder);
}
