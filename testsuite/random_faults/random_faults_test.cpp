/// Bookings and reads under random sequences of faults. Each sequence is drawn
/// from a fixed seed; the environment variable COLTSFOOT_SEEDS sets the number
/// of seeds to run.

#include "bookingfleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <thread>

using namespace coltsfoot;

namespace {

constexpr int DefaultSeeds = 3;
constexpr int StepsPerSeed = 7;
constexpr int DeadlineMs = 1200;

int seedCount() {
  const char *Value = std::getenv("COLTSFOOT_SEEDS");
  return Value ? std::max(1, std::atoi(Value)) : DefaultSeeds;
}

/// Sends random requests to one fleet and injects random faults.
class RandomRun {
public:
  explicit RandomRun(int Seed)
      : Random_(static_cast<uint64_t>(Seed)), Shop_(options()) {
    Shop_.warmUp();
  }

  void run() {
    for (int Step = 0; Step < StepsPerSeed; ++Step) {
      auto Requests = makeRequests(Step);
      std::vector<std::future<ShopOutcome>> Sent;
      auto Half = Requests.begin() + static_cast<long>(Requests.size() / 2);
      send(Requests.begin(), Half, Sent);
      sleepUpTo(40);
      std::string Fault = injectRandomFault();
      MESSAGE("step ", Step, ": ", Fault);
      send(Half, Requests.end(), Sent);
      sleepUpTo(200);
      if (randomBelow(2) == 0)
        send(Requests.begin(), Requests.end(), Sent);
      for (auto &Pending : Sent)
        Pending.get();
      Sent.clear();
      heal();
      // Repeats each booking: no later verdict may contradict an earlier one.
      send(Requests.begin(), Requests.end(), Sent);
      for (auto &Pending : Sent)
        Pending.get();
    }
    Shop_.checkOutcomes();
    MESSAGE("ran ", Shop_.countOutcomes("ran"), " not-run ",
            Shop_.countOutcomes("not-run"), " may-have-run ",
            Shop_.countOutcomes("may-have-run"), " none ",
            Shop_.countOutcomes("none"));
  }

private:
  static BookingOptions options() {
    BookingOptions Options;
    Options.Gates_ = 2;
    Options.DeadlineMs_ = DeadlineMs;
    Options.Backend_.MeanServiceTime_ = Millis(60);
    Options.Backend_.Distribution_ = ServiceTimeDistribution::Exponential;
    Options.Backend_.PaddingBytes_ = 2000;
    return Options;
  }

  size_t randomBelow(size_t Bound) { return Random_() % Bound; }
  void sleepUpTo(size_t MaxMs) {
    std::this_thread::sleep_for(std::chrono::milliseconds(randomBelow(MaxMs)));
  }

  std::vector<ShopRequest> makeRequests(int Step) {
    std::vector<ShopRequest> Requests;
    for (int I = 0; I < 8; ++I) {
      ShopRequest Request;
      Request.Tag_ = std::to_string(Step) + "-" + std::to_string(I);
      Request.Body_ = "body of " + Request.Tag_;
      if (I % 4 != 0)
        Request.Ticket_ = Shop_.requestTicket(randomBelow(2));
      Request.Timeout_ = Millis(6000);
      Requests.push_back(Request);
    }
    return Requests;
  }

  template <typename It>
  void send(It First, It Last, std::vector<std::future<ShopOutcome>> &Sent) {
    for (It Next = First; Next != Last; ++Next) {
      bool IsBooking = !Next->Ticket_.empty();
      Sent.push_back(Shop_.sendAsync(Shop_.entry(randomBelow(2)),
                                     withUniqueReadTag(*Next)));
      if (IsBooking && randomBelow(3) == 0)
        Sent.push_back(Shop_.sendAsync(Shop_.entry(randomBelow(2)), *Next));
    }
  }

  // Each time a read is sent it is a new request, so it gets its own tag.
  ShopRequest withUniqueReadTag(ShopRequest Request) {
    if (Request.Ticket_.empty())
      Request.Tag_ += "-read-" + std::to_string(++ReadCount_);
    return Request;
  }

  std::string injectRandomFault() {
    size_t Gate = randomBelow(2);
    std::string AtGate = " at gate " + std::to_string(Gate);
    ConnectionSet Connections =
        randomBelow(2) == 0 ? ConnectionSet::Existing : ConnectionSet::All;
    switch (randomBelow(11)) {
    case 0:
      Shop_.proxy(Gate).blackhole(Direction::ToTarget, Connections);
      return "offers lost" + AtGate;
    case 1:
      Shop_.proxy(Gate).blackhole(Direction::FromTarget, Connections);
      return "answers lost" + AtGate;
    case 2:
      Shop_.proxy(Gate).disconnect(ConnectionSet::Existing);
      return "connections cut" + AtGate;
    case 3:
      Shop_.proxy(Gate).disconnectAfterBytes(Direction::FromTarget,
                                             randomBelow(6000));
      return "answers cut" + AtGate;
    case 4:
      Shop_.proxy(Gate).delay(Millis(double(200 + randomBelow(1800))),
                              Direction::ToTarget, Connections);
      return "offers late" + AtGate;
    case 5:
      Shop_.proxy(Gate).delay(Millis(double(200 + randomBelow(1800))),
                              Direction::FromTarget, Connections);
      return "answers late" + AtGate;
    case 6:
      Shop_.killGate(Gate);
      KilledGate_ = Gate;
      return "killed" + AtGate;
    case 7:
      Shop_.gate(Gate).process().pause();
      sleepUpTo(1500);
      Shop_.gate(Gate).process().resume();
      return "paused" + AtGate;
    case 8:
      Shop_.entry(0).process().pause();
      sleepUpTo(1500);
      Shop_.entry(0).process().resume();
      return "entry paused";
    case 9:
      Shop_.backend(Gate).closeBeforeAnswer(2);
      return "backend answers lost" + AtGate;
    default:
      Shop_.backend(Gate).closeMidAnswer(2);
      return "backend answers cut" + AtGate;
    }
  }

  void heal() {
    for (size_t Gate = 0; Gate < Shop_.gateCount(); ++Gate) {
      Shop_.proxy(Gate).heal();
      Shop_.backend(Gate).closeBeforeAnswer(0);
      Shop_.backend(Gate).closeMidAnswer(0);
    }
    if (KilledGate_)
      Shop_.restartGate(*KilledGate_);
    KilledGate_.reset();
  }

  std::mt19937_64 Random_;
  BookingFleet Shop_;
  std::optional<size_t> KilledGate_;
  int ReadCount_ = 0;
};

} // namespace

TEST_CASE(
    "no sequence of faults runs a booking twice or causes a wrong verdict") {
  for (int Seed = 1; Seed <= seedCount(); ++Seed) {
    INFO("seed ", Seed);
    MESSAGE("seed ", Seed);
    RandomRun(Seed).run();
  }
}
