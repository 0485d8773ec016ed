/// Verdicts on bookings when the caller disconnects, when the backend server
/// fails, and when the entry cannot determine whether the booking ran.

#include "bookingfleet.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(10000);

ShopRequest booking(const std::string &Tag, const std::string &Ticket) {
  ShopRequest Request;
  Request.Tag_ = Tag;
  Request.Body_ = "chair for " + Tag;
  Request.Ticket_ = Ticket;
  return Request;
}

/// Sends a booking on a session that the test can close before the answer.
HttpSession startBooking(const TestNode &Through, const ShopRequest &Request) {
  HttpSession Session(Through.ip(), Through.httpPort());
  auto Fields = requestFields("shop", Request.Client_, Request.Tag_);
  Fields.push_back({"Coltsfoot-Ticket", Request.Ticket_});
  Session.send("POST", "/bookings", Fields, Request.Body_);
  return Session;
}

} // namespace

TEST_CASE("a booking that is running when its caller disconnects completes and "
          "its ticket returns the answer") {
  BookingOptions Options;
  Options.Backend_.MeanServiceTime_ = Millis(500);
  BookingFleet Shop(Options);
  ShopRequest Request = booking("left-running", Shop.requestTicket());
  HttpSession Caller = startBooking(Shop.entry(0), Request);
  waitUntil([&] { return Shop.runs("left-running") == 1; }, WaitLimit,
            "the booking runs");
  Caller.close();
  CHECK(Shop.send(Shop.entry(1), Request).verdict() == "ran");
  CHECK(Shop.backend().cancelled() == 0);
  CHECK(Shop.entry(0).process().running());
  Shop.checkOutcomes();
}

TEST_CASE("a booking that is queued when its caller disconnects is closed as "
          "not run") {
  BookingOptions Options;
  Options.Backend_.Slots_ = 1;
  Options.Backend_.MeanServiceTime_ = Millis(1200);
  BookingFleet Shop(Options);
  auto Running = Shop.sendAsync(Shop.entry(0),
                                booking("in-the-way", Shop.requestTicket()));
  waitUntil([&] { return Shop.runs("in-the-way") == 1; }, WaitLimit,
            "the first booking runs");
  std::vector<ShopRequest> Abandoned;
  std::vector<HttpSession> Callers;
  // More bookings than the gate may admit in addition to the first one.
  for (int I = 0; I < 12; ++I) {
    Abandoned.push_back(
        booking("left-" + std::to_string(I), Shop.requestTicket()));
    Callers.push_back(startBooking(Shop.entry(0), Abandoned.back()));
  }
  waitUntil(
      [&] {
        return BookingFleet::statusNumber(Shop.gate(), "running") +
                   BookingFleet::statusNumber(Shop.gate(), "waiting") ==
               static_cast<int64_t>(Abandoned.size()) + 1;
      },
      WaitLimit, "all bookings are running or queued at the gate");
  for (HttpSession &Caller : Callers)
    Caller.close();
  CHECK(Running.get().verdict() == "ran");
  size_t NotRun = 0;
  for (const ShopRequest &Request : Abandoned) {
    ShopOutcome RepeatedAnswer = Shop.send(Shop.entry(1), Request);
    CHECK((RepeatedAnswer.verdict() == "not-run" ||
           RepeatedAnswer.verdict() == "ran"));
    NotRun += RepeatedAnswer.verdict() == "not-run" ? 1 : 0;
  }
  CHECK(NotRun > 0);
  CHECK(Shop.entry(0).process().running());
  Shop.checkOutcomes();
}

TEST_CASE("a booking is may-have-run and not sent again when the backend "
          "server closes the connection before or during its answer") {
  BookingFleet Shop;
  for (bool MidAnswer : {false, true}) {
    std::string Tag = MidAnswer ? "mid-answer" : "before-answer";
    ShopRequest Request = booking(Tag, Shop.requestTicket());
    if (MidAnswer)
      Shop.backend().closeMidAnswer(1);
    else
      Shop.backend().closeBeforeAnswer(1);
    CHECK(Shop.send(Shop.entry(0), Request).verdict() == "may-have-run");
    CHECK(Shop.send(Shop.entry(1), Request).verdict() == "may-have-run");
    CHECK(Shop.runs(Tag) == 1);
  }
  Shop.checkOutcomes();
}

TEST_CASE("a booking whose backend server hangs is may-have-run at its "
          "deadline, and its ticket returns the answer later") {
  BookingOptions Options;
  Options.DeadlineMs_ = 700;
  BookingFleet Shop(Options);
  Shop.backend().setHang(true);
  ShopRequest Request = booking("hangs", Shop.requestTicket());
  ShopOutcome First = Shop.send(Shop.entry(0), Request);
  CHECK(First.verdict() == "may-have-run");
  CHECK(First.reason() == "deadline-passed");
  Shop.backend().setHang(false);
  CHECK(Shop.send(Shop.entry(1), Request).verdict() == "ran");
  Shop.checkOutcomes();
}

TEST_CASE("a 503 of a backend server means not run only if its announcement "
          "says so") {
  for (bool Announced : {true, false}) {
    BookingOptions Options;
    Options.Entries_ = 1;
    Options.Backend_.ShedMeansNotRun_ = Announced;
    Options.Backend_.QueueLimit_ = 0;
    Options.Backend_.Slots_ = 1;
    BookingFleet Shop(Options);
    // Occupies the only slot with a request that bypasses the nodes.
    std::string Address = Shop.backend().address();
    auto SlotHolder = std::async(std::launch::async, [&] {
      return request("127.0.0.1", Shop.backend().port(), "GET", "/items",
                     {{"X-Request-Tag", "direct"}, {"X-Work-Ms", "1000"}});
    });
    waitUntil([&] { return Shop.backend().busy() == 1; }, WaitLimit,
              "the slot is occupied");
    ShopOutcome Answer =
        Shop.send(Shop.entry(0), booking("shed", Shop.requestTicket()));
    CHECK(Answer.verdict() == (Announced ? "not-run" : "ran"));
    CHECK(Answer.status() == (Announced ? 429 : 503));
    CHECK(Shop.runs("shed") == 0);
    SlotHolder.get();
  }
}

TEST_CASE("an entry that cannot process a request with a ticket does not "
          "report it as not run") {
  BookingFleet Shop;
  ShopRequest Request = booking("examined", Shop.requestTicket());
  CHECK(Shop.send(Shop.entry(0), Request).verdict() == "ran");
  ShopRequest Malformed = Request;
  Malformed.Fields_ = {{"Coltsfoot-Deadline-Ms", "soon"}};
  ShopOutcome Refused = Shop.send(Shop.entry(0), Malformed);
  CHECK(Refused.status() >= 500);
  CHECK(Refused.verdict() == "may-have-run");
  // This node has no configuration: it reads no log and its only peer does not
  // exist.
  NodeSpec UnconfiguredSpec;
  UnconfiguredSpec.UseLog_ = false;
  UnconfiguredSpec.Peers_ = {"127.0.0.99:9"};
  auto Unconfigured = Shop.fleet().startNode(UnconfiguredSpec);
  ShopOutcome UnconfiguredAnswer = Shop.send(*Unconfigured, Request);
  CHECK(UnconfiguredAnswer.status() >= 500);
  CHECK(UnconfiguredAnswer.verdict() == "may-have-run");
  // The request names no service, as when the node does not know its host name.
  HttpReply NoServiceReply =
      Unconfigured->call("POST", "/bookings",
                         {{"Coltsfoot-Client", Request.Client_},
                          {"Coltsfoot-Ticket", Request.Ticket_}},
                         Request.Body_);
  CHECK(NoServiceReply.header("Coltsfoot-Verdict") == "may-have-run");
  Shop.checkOutcomes();
}

TEST_CASE("a booking is not reported as not run while another node runs its "
          "ticket") {
  BookingOptions Options;
  Options.Gates_ = 2;
  Options.Backend_.Slots_ = 1;
  Options.Backend_.MeanServiceTime_ = Millis(1000);
  BookingFleet Shop(Options);
  // Occupies the first gate, so that the ticket waits in its queue.
  constexpr size_t BlockingBookings = 12;
  std::vector<std::future<ShopOutcome>> Blocking;
  Blocking.reserve(BlockingBookings);
  for (size_t I = 0; I < BlockingBookings; ++I)
    Blocking.push_back(
        Shop.sendAsync(Shop.entry(0), booking("blocking-" + std::to_string(I),
                                              Shop.requestTicketFor(0))));
  waitUntil(
      [&] {
        return BookingFleet::statusNumber(Shop.gate(0), "running") +
                   BookingFleet::statusNumber(Shop.gate(0), "waiting") ==
               static_cast<int64_t>(Blocking.size());
      },
      WaitLimit, "the first gate is occupied");
  ShopRequest Long = booking("shared", Shop.requestTicketFor(0));
  ShopRequest Short = Long;
  Short.Fields_ = {{"Coltsfoot-Deadline-Ms", "400"}};
  auto First = Shop.sendAsync(Shop.entry(1), Short);
  waitUntil(
      [&] {
        return BookingFleet::statusNumber(Shop.gate(0), "running") +
                   BookingFleet::statusNumber(Shop.gate(0), "waiting") ==
               static_cast<int64_t>(Blocking.size()) + 1;
      },
      WaitLimit, "the ticket waits at the first gate");
  auto Second = Shop.sendAsync(Shop.entry(0), Long);
  CHECK(First.get().verdict() == "may-have-run");
  CHECK(Second.get().verdict() == "ran");
  CHECK(Shop.runs("shared") == 1);
  for (auto &Each : Blocking)
    Each.get();
  Shop.checkOutcomes();
}
