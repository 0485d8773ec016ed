/// Requests that are too large for a connection between two nodes.

#include "bookingfleet.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr size_t Mib = size_t{1024} * 1024;
constexpr Millis WaitLimit(10000);

} // namespace

TEST_CASE("a request too large to be sent to another node is refused and ends "
          "no other call on the connection") {
  BookingOptions Options;
  Options.Entries_ = 1;
  Options.Backend_.MeanServiceTime_ = Millis(2500);
  Options.DeadlineMs_ = 8000;
  // The limits of deploy/node.toml.in.
  Options.Node_.Limits_ = "body_bytes = 67108864\nreceive_bytes = 83886080\n";
  BookingFleet Shop(Options);
  for (size_t Size : {40 * Mib, 64 * Mib}) {
    CAPTURE(Size);
    std::string Name = std::to_string(Size / Mib);
    ShopRequest Read;
    Read.Tag_ = "read-" + Name;
    auto Running = Shop.sendAsync(Shop.entry(0), Read);
    waitUntil([&] { return Shop.runs(Read.Tag_) == 1; }, WaitLimit,
              "the other call runs");
    ShopRequest Large;
    Large.Tag_ = "large-" + Name;
    Large.Body_ = std::string(Size, 'x');
    Large.Ticket_ = Shop.requestTicket();
    CHECK(Shop.send(Shop.entry(0), Large).verdict() == "not-run");
    CHECK(Running.get().verdict() == "ran");
    CHECK(Shop.runs(Read.Tag_) == 1);
  }
  CHECK(Shop.entry(0).process().running());
#ifndef __SANITIZE_ADDRESS__ // It keeps freed memory back.
  constexpr size_t NodeMemoryKib = 128 * 1024;
  CHECK(Shop.entry(0).process().peakMemoryKib() < NodeMemoryKib);
#endif
  CHECK(Shop.entry(0).process().output().find("handler_failed") ==
        std::string::npos);
  Shop.checkOutcomes();
}
