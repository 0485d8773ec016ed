/// At-most-once execution when entries and gates are killed, paused and
/// restarted.

#include "bookingfleet.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr size_t ParallelBookings = 5;
constexpr Millis WaitLimit(10000);

ShopRequest booking(const std::string &Tag, const std::string &Ticket) {
  ShopRequest Request;
  Request.Tag_ = Tag;
  Request.Body_ = "chair for " + Tag;
  Request.Ticket_ = Ticket;
  return Request;
}

std::vector<ShopRequest> makeBookings(BookingFleet &Shop,
                                      const std::string &Name) {
  std::vector<ShopRequest> Requests;
  // Other nodes may still consider a previously paused gate dead.
  waitUntil([&] { return !Shop.tryRequestTicket(1).empty(); }, WaitLimit,
            "the entry issues a ticket");
  for (size_t I = 0; I < ParallelBookings; ++I)
    Requests.push_back(
        booking(Name + "-" + std::to_string(I), Shop.requestTicket(1)));
  return Requests;
}

std::vector<std::future<ShopOutcome>>
sendAll(BookingFleet &Shop, const TestNode &Through,
        const std::vector<ShopRequest> &Requests) {
  std::vector<std::future<ShopOutcome>> Sent;
  Sent.reserve(Requests.size());
  for (const ShopRequest &Request : Requests)
    Sent.push_back(Shop.sendAsync(Through, Request));
  return Sent;
}

std::vector<ShopOutcome>
waitForAll(std::vector<std::future<ShopOutcome>> &&Sent) {
  std::vector<ShopOutcome> Answers;
  Answers.reserve(Sent.size());
  for (auto &Pending : Sent)
    Answers.push_back(Pending.get());
  return Answers;
}

void waitUntilRunning(const BookingFleet &Shop,
                      const std::vector<ShopRequest> &Requests) {
  waitUntil(
      [&] {
        return std::all_of(Requests.begin(), Requests.end(),
                           [&](const ShopRequest &Request) {
                             return Shop.runs(Request.Tag_) == 1;
                           });
      },
      WaitLimit, "the bookings run");
}

BookingOptions slowBackendOptions(int WorkMs, int Gates = 1) {
  BookingOptions Options;
  Options.Gates_ = Gates;
  Options.Backend_.MeanServiceTime_ = Millis(WorkMs);
  return Options;
}

/// Longer than the nodes' time-outs for a silent connection and for a new
/// connection together.
constexpr std::chrono::milliseconds PauseBeyondTimeouts(2900);

} // namespace

TEST_CASE("bookings whose entry is killed while they run get their full "
          "answers through another entry") {
  BookingFleet Shop(slowBackendOptions(600, 2));
  auto Requests = makeBookings(Shop, "entry-killed");
  auto Sent = sendAll(Shop, Shop.entry(0), Requests);
  waitUntilRunning(Shop, Requests);
  Shop.killEntry(0);
  for (const ShopOutcome &Answer : waitForAll(std::move(Sent)))
    CHECK(Answer.verdict() == "none");
  for (const ShopOutcome &Answer :
       waitForAll(sendAll(Shop, Shop.entry(1), Requests)))
    CHECK(Answer.verdict() == "ran");
  Shop.restartEntry(0);
  for (const ShopOutcome &Answer :
       waitForAll(sendAll(Shop, Shop.entry(0), Requests)))
    CHECK(Answer.verdict() == "ran");
  Shop.checkOutcomes();
}

TEST_CASE("bookings run at most once when their entry is killed at any time") {
  BookingFleet Shop(slowBackendOptions(30, 2));
  for (int Round = 0; Round < 4; ++Round) {
    auto Requests = makeBookings(Shop, "any-moment-" + std::to_string(Round));
    auto Sent = sendAll(Shop, Shop.entry(0), Requests);
    std::this_thread::sleep_for(std::chrono::milliseconds(10 * Round));
    Shop.killEntry(0);
    waitForAll(std::move(Sent));
    for (const ShopOutcome &Answer :
         waitForAll(sendAll(Shop, Shop.entry(1), Requests)))
      CHECK((Answer.verdict() == "ran" || Answer.verdict() == "not-run"));
    Shop.restartEntry(0);
  }
  Shop.checkOutcomes();
}

TEST_CASE("bookings whose only gate is killed while they run are may-have-run, "
          "and the restarted gate does not run them again") {
  BookingFleet Shop(slowBackendOptions(500));
  auto Requests = makeBookings(Shop, "gate-killed");
  auto Sent = sendAll(Shop, Shop.entry(0), Requests);
  waitUntilRunning(Shop, Requests);
  Shop.killGate(0);
  for (const ShopOutcome &Answer : waitForAll(std::move(Sent)))
    CHECK(Answer.verdict() == "may-have-run");
  Shop.restartGate(0);
  for (const ShopOutcome &Answer :
       waitForAll(sendAll(Shop, Shop.entry(1), Requests)))
    CHECK(Answer.verdict() == "may-have-run");
  ShopRequest Next = booking("next-process", "");
  waitUntil(
      [&] {
        Next.Ticket_ = Shop.tryRequestTicket();
        return !Next.Ticket_.empty() &&
               Shop.send(Shop.entry(0), Next).verdict() == "ran";
      },
      WaitLimit, "the entry uses the restarted gate");
  Shop.checkOutcomes();
}

TEST_CASE("an answer kept by a later candidate is returned after the candidate "
          "before it was restarted") {
  BookingFleet Shop(slowBackendOptions(20, 2));
  ShopRequest Request = booking("later-candidate", Shop.requestTicket());
  std::vector<size_t> CandidateGates = Shop.candidateGates(Request.Ticket_);
  REQUIRE(CandidateGates.size() == 2);
  // The first candidate closes the ticket, since the offer to it is lost.
  Shop.warmUp();
  Shop.proxy(CandidateGates[0])
      .blackhole(Direction::ToTarget, ConnectionSet::Existing);
  CHECK(Shop.send(Shop.entry(0), Request).verdict() == "ran");
  CHECK(Shop.backend(CandidateGates[1]).count(Request.Tag_) == 1);
  Shop.proxy(CandidateGates[0]).heal();
  Shop.killGate(CandidateGates[0]);
  CHECK(Shop.send(Shop.entry(1), Request).verdict() == "ran");
  Shop.restartGate(CandidateGates[0]);
  CHECK(Shop.send(Shop.entry(0), Request).verdict() == "ran");
  Shop.checkOutcomes();
}

TEST_CASE("a ticket that a later candidate has closed moves on to the next "
          "candidate after an earlier candidate was killed") {
  BookingFleet Shop(slowBackendOptions(20, 3));
  ShopRequest Request = booking("closed-twice", Shop.requestTicket());
  std::vector<size_t> CandidateGates = Shop.candidateGates(Request.Ticket_);
  REQUIRE(CandidateGates.size() == 3);
  Shop.warmUp();
  Shop.proxy(CandidateGates[0])
      .blackhole(Direction::ToTarget, ConnectionSet::Existing);
  Shop.proxy(CandidateGates[1])
      .blackhole(Direction::ToTarget, ConnectionSet::Existing);
  // This deadline leaves enough time for two candidates to close the ticket.
  Request.Fields_ = {{"Coltsfoot-Deadline-Ms", "1550"}};
  Shop.send(Shop.entry(0), Request);
  Request.Fields_.clear();
  Shop.proxy(CandidateGates[0]).heal();
  Shop.proxy(CandidateGates[1]).heal();
  size_t RunsBefore = Shop.runs(Request.Tag_);
  Shop.killGate(CandidateGates[0]);
  ShopOutcome Answer = Shop.send(Shop.entry(1), Request);
  if (RunsBefore == 1)
    CHECK(Answer.verdict() == "ran");
  Shop.checkOutcomes();
}

TEST_CASE("a gate paused for longer than the connection time-outs runs nothing "
          "twice and answers within the deadline after it resumes") {
  BookingOptions Options = slowBackendOptions(100);
  Options.DeadlineMs_ = 6000;
  BookingFleet Shop(Options);
  Shop.warmUp();
  for (bool Running : {true, false}) {
    auto Requests =
        makeBookings(Shop, Running ? "gate-paused" : "gate-paused-first");
    std::vector<std::future<ShopOutcome>> Sent;
    if (Running) {
      Sent = sendAll(Shop, Shop.entry(0), Requests);
      waitUntilRunning(Shop, Requests);
      Shop.gate().process().pause();
    } else {
      Shop.gate().process().pause();
      Sent = sendAll(Shop, Shop.entry(0), Requests);
    }
    std::this_thread::sleep_for(PauseBeyondTimeouts);
    Shop.gate().process().resume();
    for (const ShopOutcome &Answer : waitForAll(std::move(Sent)))
      CHECK((Answer.verdict() == "ran" ||
             (!Running && Answer.verdict() == "not-run")));
    waitForAll(sendAll(Shop, Shop.entry(1), Requests));
  }
  CHECK(Shop.countOutcomes("may-have-run") == 0);
  Shop.checkOutcomes();
}

TEST_CASE(
    "a gate paused past the deadline runs nothing twice after it resumes") {
  BookingOptions Options = slowBackendOptions(50, 2);
  Options.DeadlineMs_ = 1000;
  BookingFleet Shop(Options);
  Shop.warmUp();
  auto Requests = makeBookings(Shop, "past-deadline");
  Shop.gate(0).process().pause();
  auto Sent = sendAll(Shop, Shop.entry(0), Requests);
  auto SentThroughOther = sendAll(Shop, Shop.entry(1), Requests);
  waitForAll(std::move(Sent));
  waitForAll(std::move(SentThroughOther));
  Shop.gate(0).process().resume();
  waitUntil([&] { return Shop.gate(0).call("GET", "/healthz").Status_ == 200; },
            WaitLimit, "the gate has resumed");
  auto RepeatedAnswers = waitForAll(sendAll(Shop, Shop.entry(0), Requests));
  CHECK(RepeatedAnswers == waitForAll(sendAll(Shop, Shop.entry(1), Requests)));
  Shop.checkOutcomes();
}

TEST_CASE(
    "an entry paused for longer than the connection time-outs reports no wrong "
    "verdict after it resumes") {
  BookingFleet Shop(slowBackendOptions(300, 2));
  auto Requests = makeBookings(Shop, "entry-paused");
  auto Sent = sendAll(Shop, Shop.entry(0), Requests);
  waitUntilRunning(Shop, Requests);
  Shop.entry(0).process().pause();
  auto Others = waitForAll(sendAll(Shop, Shop.entry(1), Requests));
  for (const ShopOutcome &Answer : Others)
    CHECK(Answer.verdict() == "ran");
  std::this_thread::sleep_for(PauseBeyondTimeouts);
  Shop.entry(0).process().resume();
  waitForAll(std::move(Sent));
  for (const ShopOutcome &Answer :
       waitForAll(sendAll(Shop, Shop.entry(0), Requests)))
    CHECK(Answer.verdict() == "ran");
  Shop.checkOutcomes();
}

TEST_CASE(
    "once one of several gates that fell silent together is noticed, calls "
    "avoid all of them") {
  constexpr size_t Gates = 8;
  constexpr size_t SilentGates = 5;
  constexpr int CallCount = 40;
  /// The silence limit of a connection, the time to answer a probe and a margin
  /// for a busy machine.
  constexpr Millis Noticed(1300);
  /// Far less than the silence limit of a connection.
  constexpr Millis AnswerLimit(450);
  BookingFleet Shop(slowBackendOptions(5, Gates));
  // So many calls reach each gate and open all connections.
  for (int I = 0; I < 200; ++I) {
    ShopRequest Read;
    Read.Tag_ = "before-" + std::to_string(I);
    Shop.send(Shop.entry(0), Read);
  }
  const SystemClock Time;
  Millis Cut = Time.now();
  for (size_t I = 0; I < SilentGates; ++I)
    Shop.proxy(I).blackhole(Direction::Both, ConnectionSet::All);
  std::vector<std::future<std::pair<Millis, Millis>>> Sent;
  for (int I = 0; I < CallCount; ++I) {
    Sent.push_back(std::async(std::launch::async, [&, I] {
      ShopRequest Read;
      Read.Tag_ = "silent-half-" + std::to_string(I);
      Millis Start = Time.now();
      Shop.send(Shop.entry(0), Read);
      return std::pair(Start, Time.now());
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(80));
  }
  for (auto &Each : Sent) {
    std::pair<Millis, Millis> Times = Each.get();
    Millis SentAfter = Times.first - Cut;
    Millis Took = Times.second - Times.first;
    CAPTURE(SentAfter.count());
    if (SentAfter > Noticed)
      CHECK(Took.count() < AnswerLimit.count());
  }
  for (size_t I = 0; I < SilentGates; ++I)
    Shop.proxy(I).heal();
  Shop.checkOutcomes();
}

TEST_CASE("reads refused as not run while a gate is killed have not run") {
  BookingFleet Shop(slowBackendOptions(30, 2));
  std::vector<std::future<ShopOutcome>> Sent;
  for (int I = 0; I < 40; ++I) {
    ShopRequest Read;
    Read.Tag_ = "read-" + std::to_string(I);
    Sent.push_back(Shop.sendAsync(Shop.entry(I % 2), Read));
    if (I == 20)
      Shop.killGate(0);
  }
  for (const ShopOutcome &Answer : waitForAll(std::move(Sent)))
    CHECK(Answer.verdict() != "none");
  Shop.checkOutcomes();
}
