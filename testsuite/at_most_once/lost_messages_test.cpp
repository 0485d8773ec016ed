/// At-most-once execution when offers and answers between an entry and a gate
/// are lost, truncated or delayed. The nodes are separate processes, and a
/// fault proxy stands in front of each gate.

#include "bookingfleet.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr size_t ParallelBookings = 6;
constexpr Millis WaitLimit(10000);

ShopRequest booking(const std::string &Tag, const std::string &Ticket) {
  ShopRequest Request;
  Request.Tag_ = Tag;
  Request.Body_ = "chair for " + Tag;
  Request.Ticket_ = Ticket;
  return Request;
}

/// Sends bookings in parallel through one entry.
std::vector<std::future<ShopOutcome>>
sendBookings(BookingFleet &Shop, size_t Entry, const std::string &Name,
             std::vector<std::string> *Tickets = nullptr) {
  std::vector<std::future<ShopOutcome>> Sent;
  for (size_t I = 0; I < ParallelBookings; ++I) {
    std::string Ticket = Shop.requestTicket(Entry);
    if (Tickets)
      Tickets->push_back(Ticket);
    Sent.push_back(Shop.sendAsync(
        Shop.entry(Entry), booking(Name + "-" + std::to_string(I), Ticket)));
  }
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

void waitUntilRunning(BookingFleet &Shop, int Count) {
  waitUntil([&] { return Shop.backend().busy() >= Count; }, WaitLimit,
            "the bookings run");
}

} // namespace

TEST_CASE("one ticket sent through several nodes at once runs once and all "
          "callers get the same answer") {
  BookingOptions Options;
  Options.Gates_ = 2;
  Options.Backend_.MeanServiceTime_ = Millis(100);
  BookingFleet Shop(Options);
  for (int Round = 0; Round < 8; ++Round) {
    ShopRequest Request =
        booking("once-" + std::to_string(Round), Shop.requestTicket(Round % 2));
    std::vector<std::future<ShopOutcome>> Sent;
    for (const TestNode *Node :
         {&Shop.entry(0), &Shop.entry(1), &Shop.gate(0), &Shop.gate(1)})
      Sent.push_back(Shop.sendAsync(*Node, Request));
    std::vector<ShopOutcome> Answers = waitForAll(std::move(Sent));
    Answers.push_back(Shop.send(Shop.entry(Round % 2), Request));
    for (const ShopOutcome &Answer : Answers) {
      CHECK(Answer.verdict() == "ran");
      CHECK(Answer.Reply_->Body_ == Answers.front().Reply_->Body_);
    }
  }
  Shop.checkOutcomes();
}

TEST_CASE("a used ticket with another body or client runs nothing and "
          "discloses nothing of the kept answer") {
  BookingFleet Shop;
  ShopRequest Request = booking("bound", Shop.requestTicket());
  ShopOutcome Booked = Shop.send(Shop.entry(0), Request);
  CHECK(Booked.verdict() == "ran");
  ShopRequest OtherBody = Request;
  OtherBody.Tag_ = "other-body";
  OtherBody.Body_ = "another chair";
  ShopRequest OtherClient = Request;
  OtherClient.Tag_ = "other-client";
  OtherClient.Client_ = "client-2";
  for (size_t Entry : {0, 1}) {
    ShopOutcome Refused = Shop.send(Shop.entry(Entry), OtherBody);
    CHECK(Refused.status() == 422);
    CHECK(Refused.Reply_->Body_.find("bound") == std::string::npos);
    Refused = Shop.send(Shop.entry(Entry), OtherClient);
    CHECK(Refused.status() == 403);
    CHECK(Refused.Reply_->Body_.find("bound") == std::string::npos);
  }
  CHECK(Shop.send(Shop.entry(1), Request).Reply_->Body_ ==
        Booked.Reply_->Body_);
  Shop.checkOutcomes();
}

TEST_CASE(
    "answers lost on a silent connection are fetched again from the gate") {
  BookingOptions Options;
  Options.Backend_.MeanServiceTime_ = Millis(400);
  BookingFleet Shop(Options);
  Shop.warmUp();
  auto Sent = sendBookings(Shop, 0, "lost-answer");
  waitUntilRunning(Shop, ParallelBookings);
  Shop.proxy().blackhole(Direction::FromTarget, ConnectionSet::Existing);
  for (const ShopOutcome &Answer : waitForAll(std::move(Sent)))
    CHECK(Answer.verdict() == "ran");
  Shop.checkOutcomes();
}

TEST_CASE("truncated answers are fetched again in full from the gate") {
  BookingOptions Options;
  Options.Backend_.MeanServiceTime_ = Millis(300);
  Options.Backend_.PaddingBytes_ = 100'000;
  BookingFleet Shop(Options);
  Shop.warmUp();
  auto Sent = sendBookings(Shop, 0, "cut-answer");
  waitUntilRunning(Shop, ParallelBookings);
  Shop.proxy().disconnectAfterBytes(Direction::FromTarget, 150'000,
                                    ConnectionSet::Existing);
  for (const ShopOutcome &Answer : waitForAll(std::move(Sent))) {
    CHECK(Answer.verdict() == "ran");
    CHECK(Answer.Reply_->Body_.size() > 100'000);
  }
  Shop.checkOutcomes();
}

TEST_CASE("offers lost on a silent connection are closed as not run, with a "
          "successor ticket that runs") {
  BookingFleet Shop;
  Shop.warmUp();
  Shop.proxy().blackhole(Direction::ToTarget, ConnectionSet::Existing);
  for (const ShopOutcome &Answer :
       waitForAll(sendBookings(Shop, 0, "lost-offer"))) {
    CHECK(Answer.verdict() == "not-run");
    REQUIRE_FALSE(Answer.successor().empty());
    CHECK(Shop.send(Shop.entry(1), Answer.Request_).successor() ==
          Answer.successor());
    ShopRequest NextRequest =
        booking(Answer.Request_.Tag_ + "-next", Answer.successor());
    CHECK(Shop.send(Shop.entry(1), NextRequest).verdict() == "ran");
  }
  Shop.checkOutcomes();
}

TEST_CASE("after a connection reset a booking is closed as not run or "
          "answered, never may-have-run") {
  BookingOptions Options;
  Options.Backend_.MeanServiceTime_ = Millis(100);
  BookingFleet Shop(Options);
  for (uint64_t Bytes : {0, 100, 700, 1500}) {
    Shop.warmUp();
    Shop.proxy().disconnectAfterBytes(Direction::ToTarget, Bytes,
                                      ConnectionSet::Existing);
    for (const ShopOutcome &Answer :
         waitForAll(sendBookings(Shop, 0, "cut-" + std::to_string(Bytes))))
      CHECK((Answer.verdict() == "ran" || Answer.verdict() == "not-run"));
    Shop.proxy().heal();
  }
  CHECK(Shop.countOutcomes("may-have-run") == 0);
  Shop.checkOutcomes();
}

TEST_CASE("offers that arrive after their tickets were closed do not run") {
  BookingFleet Shop;
  Shop.warmUp();
  // Longer than the entry's time-out for a silent connection.
  Shop.proxy().delay(Millis(2500), Direction::ToTarget,
                     ConnectionSet::Existing);
  std::vector<std::future<ShopOutcome>> Sent;
  for (size_t I = 0; I < ParallelBookings; ++I) {
    ShopRequest Request =
        booking("late-" + std::to_string(I), Shop.requestTicket());
    Request.Body_ = std::string(2000, 'x');
    Sent.push_back(Shop.sendAsync(Shop.entry(0), Request));
  }
  for (const ShopOutcome &Answer : waitForAll(std::move(Sent)))
    CHECK(Answer.verdict() == "not-run");
  uint64_t BytesBefore = Shop.proxy().passedBytes(Direction::ToTarget);
  waitUntil(
      [&] {
        return Shop.proxy().passedBytes(Direction::ToTarget) >
               BytesBefore + 2000;
      },
      WaitLimit, "the proxy has passed on the late offers");
  CHECK(Shop.send(Shop.gate(), booking("after", Shop.requestTicket(1)))
            .verdict() == "ran");
  Shop.checkOutcomes();
}

TEST_CASE(
    "with several candidate gates a booking whose offer or answer is lost "
    "runs at no more than one of them") {
  BookingOptions Options;
  Options.Gates_ = 3;
  Options.DeadlineMs_ = 6000;
  Options.Backend_.MeanServiceTime_ = Millis(200);
  BookingFleet Shop(Options);
  Shop.warmUp();
  for (Direction LostDirection :
       {Direction::ToTarget, Direction::FromTarget, Direction::Both}) {
    std::vector<std::future<ShopOutcome>> Sent;
    std::string Name = "way-" + std::to_string(static_cast<int>(LostDirection));
    for (size_t I = 0; I < ParallelBookings; ++I) {
      ShopRequest Request =
          booking(Name + "-" + std::to_string(I), Shop.requestTicket());
      Sent.push_back(Shop.sendAsync(Shop.entry(0), Request));
      Sent.push_back(Shop.sendAsync(Shop.entry(1), Request));
    }
    for (size_t Gate = 0; Gate < Shop.gateCount(); ++Gate)
      Shop.proxy(Gate).blackhole(LostDirection, ConnectionSet::Existing);
    // The last candidate closes the ticket if the offer to every candidate is
    // lost.
    bool MayBeNotRun = LostDirection != Direction::FromTarget;
    for (const ShopOutcome &Answer : waitForAll(std::move(Sent)))
      CHECK((Answer.verdict() == "ran" ||
             (MayBeNotRun && Answer.verdict() == "not-run" &&
              !Answer.successor().empty())));
    for (size_t Gate = 0; Gate < Shop.gateCount(); ++Gate)
      Shop.proxy(Gate).heal();
  }
  Shop.checkOutcomes();
}
