/// At-most-once execution beside a backend server that writes answers which
/// nobody asked for on its kept connections.

#include "bookingfleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr size_t Bookings = 120;
constexpr size_t ParallelBookings = 6;
constexpr Millis WaitLimit(10000);

/// Sends bookings, some of them at the same time, and returns their outcomes.
std::vector<ShopOutcome> sendBookings(BookingFleet &Shop,
                                      const std::string &Name) {
  std::vector<ShopOutcome> Outcomes;
  while (Outcomes.size() < Bookings) {
    std::vector<std::future<ShopOutcome>> Sent;
    for (size_t I = 0; I < ParallelBookings; ++I) {
      ShopRequest Request;
      Request.Tag_ = Name + "-" + std::to_string(Outcomes.size() + I);
      Request.Body_ = "chair for " + Request.Tag_;
      Request.Ticket_ = Shop.requestTicket();
      Sent.push_back(Shop.sendAsync(Shop.entry(0), Request));
    }
    for (auto &Pending : Sent)
      Outcomes.push_back(Pending.get());
  }
  return Outcomes;
}

/// Returns how many bookings ran and were answered as not run.
size_t countRunButDenied(const BookingFleet &Shop,
                         const std::vector<ShopOutcome> &Outcomes) {
  return static_cast<size_t>(
      std::count_if(Outcomes.begin(), Outcomes.end(), [&](const auto &Each) {
        return Each.verdict() == "not-run" && Shop.runs(Each.Request_.Tag_) > 0;
      }));
}

/// Returns how many bookings were answered with another answer than their own.
size_t countForeign(const std::vector<ShopOutcome> &Outcomes) {
  return static_cast<size_t>(
      std::count_if(Outcomes.begin(), Outcomes.end(), [](const auto &Each) {
        return Each.status() == 200 &&
               Each.Reply_->Body_.find(Each.Request_.Tag_ + "\"") ==
                   std::string::npos;
      }));
}

size_t countRan(const std::vector<ShopOutcome> &Outcomes) {
  return static_cast<size_t>(
      std::count_if(Outcomes.begin(), Outcomes.end(),
                    [](const auto &Each) { return Each.status() == 200; }));
}

} // namespace

TEST_CASE("a surplus answer is never taken for that of another booking") {
  BookingOptions Options;
  SUBCASE("the backend server repeats the context") {
    Options.Backend_.RepeatsContext_ = true;
  }
  SUBCASE("the backend server does not repeat the context") {
    Options.Backend_.RepeatsContext_ = false;
  }
  BookingFleet Shop(Options);
  for (int Status : {503, 200})
    for (Millis Delay : {Millis(0), Millis(20)}) {
      std::string Name =
          std::to_string(Status) + "-" + std::to_string(Delay.whole());
      CAPTURE(Name);
      Shop.backend().setSurplus({Status, Delay, false});
      std::vector<ShopOutcome> Outcomes = sendBookings(Shop, Name);
      CHECK(countRunButDenied(Shop, Outcomes) == 0);
      CHECK(countForeign(Outcomes) == 0);
      // Without the field, each booking has a connection of its own.
      if (!Options.Backend_.RepeatsContext_)
        CHECK(countRan(Outcomes) == Bookings);
    }
  Shop.checkOutcomes();
}

TEST_CASE("an earlier refusal written once more does not end a later booking") {
  BookingFleet Shop;
  for (Millis Delay : {Millis(0), Millis(20)}) {
    CAPTURE(Delay.whole());
    Shop.backend().setSurplus({503, Delay, true});
    std::vector<ShopOutcome> Outcomes =
        sendBookings(Shop, "repeated-" + std::to_string(Delay.whole()));
    CHECK(countRunButDenied(Shop, Outcomes) == 0);
    CHECK(countRan(Outcomes) == Bookings);
  }
  Shop.checkOutcomes();
}

TEST_CASE("bookings succeed again once a backend server writes no more surplus "
          "answers") {
  BookingFleet Shop;
  Shop.backend().setSurplus({503, Millis(0), false});
  sendBookings(Shop, "surplus");
  Shop.gate().process().waitForLine("event=answer_not_attributed", WaitLimit);
  Shop.backend().setSurplus({});
  sendBookings(Shop, "in-between");
  CHECK(countRan(sendBookings(Shop, "after")) == Bookings);
  Shop.checkOutcomes();
}
