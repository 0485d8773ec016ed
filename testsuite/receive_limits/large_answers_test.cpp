/// Large answers that a caller or another node does not read at once.

#include "bookingfleet.h"
#include "rawsocket.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr size_t Mib = size_t{1024} * 1024;
constexpr size_t AnswerBytes = 7 * Mib;
constexpr Millis WaitLimit(10000);

/// Sends a request to a node without reading the answer.
RawSocket askWithoutReading(const TestNode &Node, const std::string &Tag) {
  std::string Head = "GET /items HTTP/1.1\r\nHost: shop\r\n";
  for (const HttpField &Field : requestFields("shop", "client-1", Tag))
    Head += Field.Name_ + ": " + Field.Value_ + "\r\n";
  RawSocket Caller = RawSocket::connect(Node.httpPort(), {}, Node.ip());
  Caller.send(Head + "\r\n");
  return Caller;
}

} // namespace

TEST_CASE("large answers that callers do not read don't exhaust a node's "
          "memory or keep small ones from others") {
  constexpr size_t Callers = 60;
  BookingOptions Options;
  Options.Entries_ = 1;
  Options.DeadlineMs_ = 8000;
  Options.Backend_.PaddingBytes_ = AnswerBytes;
  BookingFleet Shop(Options);
  std::vector<RawSocket> Unread;
  Unread.reserve(Callers);
  for (size_t I = 0; I < Callers; ++I) {
    std::string Tag = "unread-" + std::to_string(I);
    Unread.push_back(askWithoutReading(Shop.entry(0), Tag));
    waitUntil([&] { return Shop.runs(Tag) > 0; }, WaitLimit, "the call runs");
  }
  ShopRequest Small;
  Small.Tag_ = "small";
  Small.Fields_ = {{"X-Padding", "10"}};
  CHECK(Shop.send(Shop.entry(0), Small).verdict() == "ran");
  CHECK(Shop.entry(0).process().running());
#ifndef __SANITIZE_ADDRESS__ // It keeps freed memory back.
  constexpr size_t NodeMemoryKib = 128 * 1024;
  CHECK(Shop.entry(0).process().peakMemoryKib() < NodeMemoryKib);
#endif
}

TEST_CASE("answers that find no room between two nodes end no other call") {
  constexpr size_t Reads = 10;
  BookingOptions Options;
  Options.Entries_ = 1;
  Options.DeadlineMs_ = 4000;
  Options.Backend_.PaddingBytes_ = AnswerBytes;
  Options.Backend_.MeanServiceTime_ = Millis(500);
  Options.Backend_.Slots_ = 16;
  // The limits of deploy/node.toml.in.
  Options.Node_.Limits_ = "body_bytes = 67108864\nreceive_bytes = 83886080\n";
  // Longer than a busy machine keeps a node from running.
  Options.Node_.Timeouts_ = "silent_ms = 5000\n";
  BookingFleet Shop(Options);
  Shop.warmUp();
  std::vector<std::future<ShopOutcome>> Sent;
  for (size_t I = 0; I < 2; ++I) {
    ShopRequest Booking;
    Booking.Tag_ = "booking-" + std::to_string(I);
    Booking.Ticket_ = Shop.requestTicket();
    Sent.push_back(Shop.sendAsync(Shop.entry(0), Booking));
  }
  for (size_t I = 0; I < Reads; ++I) {
    ShopRequest Read;
    Read.Tag_ = "read-" + std::to_string(I);
    Sent.push_back(Shop.sendAsync(Shop.entry(0), Read));
  }
  ShopRequest Small;
  Small.Tag_ = "small";
  Small.Fields_ = {{"X-Padding", "10"}, {"X-Work-Ms", "1500"}};
  CHECK(Shop.send(Shop.entry(0), Small).verdict() == "ran");
  CHECK(Shop.runs("small") == 1);
  size_t Ran = 0;
  for (auto &Each : Sent)
    Ran += Each.get().verdict() == "ran" ? 1 : 0;
  CHECK(Ran > 0);
  for (TestNode *Node : {&Shop.entry(0), &Shop.gate(0)})
    for (const std::string &Line : Node->process().lines()) {
      CAPTURE(Line);
      CHECK(Line.find("peer_connection_closed") == std::string::npos);
    }
  Shop.checkOutcomes();
}
