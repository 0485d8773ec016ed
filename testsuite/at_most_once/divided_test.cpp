/// At-most-once execution when nodes know different members, when a ticket has
/// expired, and when the gate no longer keeps the answer.

#include "bookingfleet.h"

#include "sealingkeys.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(20000);

ShopRequest booking(const std::string &Tag, const std::string &Ticket) {
  ShopRequest Request;
  Request.Tag_ = Tag;
  Request.Body_ = "chair for " + Tag;
  Request.Ticket_ = Ticket;
  return Request;
}

/// Returns the ticket, sealed again so that it expires this long from now.
std::string ticketExpiringIn(const std::string &Text, Millis Remaining) {
  SealingKeys Keys{std::string(TestTicketKey)};
  auto Opened = openTicket(Text, Keys);
  REQUIRE(Opened);
  Opened->ExpiryWall_ = SystemClock().wallNow() + Remaining;
  return sealTicket(*Opened, Keys);
}

} // namespace

TEST_CASE("a ticket sent on both sides of a network partition runs on at most "
          "one side") {
  BookingOptions Options;
  Options.Gates_ = 2;
  Options.DeadlineMs_ = 1500;
  BookingFleet Shop(Options);
  Shop.warmUp();
  std::vector<ShopRequest> Requests;
  for (size_t I = 0; I < 6; ++I)
    Requests.push_back(
        booking("divided-" + std::to_string(I), Shop.requestTicketFor(I % 2)));
  // Gate 0 and entry 0 are on one side, gate 1 and entry 1 on the other.
  for (size_t Side : {0, 1}) {
    size_t OtherSide = 1 - Side;
    Shop.proxy(Side).limitToSources(
        {Shop.entry(OtherSide).ip(), Shop.gate(OtherSide).ip()});
    Shop.proxy(Side).blackhole(Direction::Both, ConnectionSet::All);
  }
  std::vector<std::future<ShopOutcome>> Sent;
  for (const ShopRequest &Request : Requests)
    for (size_t Entry : {0, 1})
      Sent.push_back(Shop.sendAsync(Shop.entry(Entry), Request));
  for (auto &Pending : Sent)
    CHECK(Pending.get().verdict() != "none");
  CHECK(Shop.countOutcomes("may-have-run") > 0);
  for (size_t Side : {0, 1})
    Shop.proxy(Side).heal();
  for (const ShopRequest &Request : Requests)
    for (size_t Entry : {0, 1})
      CHECK(Shop.send(Shop.entry(Entry), Request).verdict() == "ran");
  Shop.checkOutcomes();
}

TEST_CASE("a ticket sent through an entry that knows none of its gates as "
          "members runs once, and other entries return its answer") {
  BookingOptions Options;
  Options.Gates_ = 2;
  BookingFleet Shop(Options);
  // This entry has the same ticket key and service configuration, but its own
  // log and members.
  Fleet OutsideFleet;
  auto OutsideEntry = OutsideFleet.startNode();
  OutsideEntry->waitUntilServing();
  Fleet::putResource(*OutsideEntry, "services/shop", shopServiceJson());
  REQUIRE(OutsideEntry->aliveGateCount("shop") == 0);
  for (size_t Gate : {0, 1}) {
    ShopRequest Request =
        booking("outside-" + std::to_string(Gate), Shop.requestTicketFor(Gate));
    auto Pending = Shop.sendAsync(*OutsideEntry, Request);
    ShopOutcome KnownEntryAnswer = Shop.send(Shop.entry(0), Request);
    CHECK(KnownEntryAnswer.verdict() == "ran");
    CHECK(Pending.get().Reply_->Body_ == KnownEntryAnswer.Reply_->Body_);
    CHECK(Shop.backend(Gate).count(Request.Tag_) == 1);
  }
  Shop.checkOutcomes();
}

TEST_CASE("an expired ticket runs nothing, whether or not it has run before") {
  BookingFleet Shop;
  ShopRequest Expired =
      booking("expired", ticketExpiringIn(Shop.requestTicket(), Millis(-10)));
  ShopOutcome Refused = Shop.send(Shop.entry(0), Expired);
  CHECK(Refused.status() == 410);
  CHECK(Refused.reason() == "ticket-expired");
  CHECK(Shop.runs("expired") == 0);

  ShopRequest Expiring =
      booking("expires", ticketExpiringIn(Shop.requestTicket(), Millis(1500)));
  CHECK(Shop.send(Shop.entry(0), Expiring).verdict() == "ran");
  waitUntil(
      [&] { return Shop.send(Shop.entry(1), Expiring).verdict() != "ran"; },
      WaitLimit, "the answer is no longer returned");
  CHECK(Shop.send(Shop.entry(1), Expiring).verdict() == "may-have-run");
  Shop.checkOutcomes();
}

TEST_CASE(
    "a booking whose ticket expires while it is queued is closed as not run") {
  BookingOptions Options;
  Options.Backend_.Slots_ = 1;
  Options.Backend_.MeanServiceTime_ = Millis(1500);
  BookingFleet Shop(Options);
  auto Running = Shop.sendAsync(Shop.entry(0),
                                booking("in-the-way", Shop.requestTicket()));
  waitUntil([&] { return Shop.runs("in-the-way") == 1; }, WaitLimit,
            "the first booking runs");
  std::vector<std::future<ShopOutcome>> Sent;
  Sent.reserve(8);
  for (int I = 0; I < 8; ++I)
    Sent.push_back(Shop.sendAsync(
        Shop.entry(0),
        booking("waits-" + std::to_string(I),
                ticketExpiringIn(Shop.requestTicket(), Millis(700)))));
  size_t NotRun = 0;
  for (auto &Pending : Sent)
    NotRun += Pending.get().verdict() == "not-run" ? 1 : 0;
  CHECK(NotRun > 0);
  CHECK(Running.get().verdict() == "ran");
  Shop.checkOutcomes();
}

TEST_CASE("a booking whose answer was evicted is reported as answer-not-kept "
          "and does not run again") {
  BookingOptions Options;
  Options.Node_.Limits_ = "kept_answer_bytes = 10000000\n";
  BookingFleet Shop(Options);
  std::vector<ShopRequest> Requests;
  // Together the answers exceed `kept_answer_bytes`.
  for (int I = 0; I < 5; ++I) {
    Requests.push_back(
        booking("kept-" + std::to_string(I), Shop.requestTicket()));
    Requests.back().Fields_ = {{"X-Padding", "3000000"}};
    CHECK(Shop.send(Shop.entry(0), Requests.back()).verdict() == "ran");
  }
  ShopOutcome First = Shop.send(Shop.entry(1), Requests.front());
  CHECK(First.status() == 502);
  CHECK(First.reason() == "answer-not-kept");
  CHECK(Shop.send(Shop.entry(1), Requests.back()).verdict() == "ran");
  Shop.checkOutcomes();
}
