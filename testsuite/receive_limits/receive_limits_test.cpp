/// The memory of a node stays bounded whatever its callers send.

#include "fleet.h"
#include "rawsocket.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr size_t Kib = 1024;
constexpr size_t Mib = Kib * Kib;
constexpr size_t BodyBytes = 8 * Mib;
constexpr size_t Callers = 40;
/// The most memory that a node may use.
constexpr size_t NodeMemoryKib = 128 * Kib;

} // namespace

TEST_CASE("half-sent bodies of many callers don't exhaust a node's memory") {
  NodeSpec Spec;
  Spec.Limits_ = "body_bytes = " + std::to_string(BodyBytes) +
                 "\nheader_timeout_ms = 120000\n";
  Fleet Fleet;
  auto Node = Fleet.startNode(Spec);
  Node->waitUntilServing();
  std::string HalfSent = "POST /bookings HTTP/1.1\r\nHost: a\r\n"
                         "Content-Length: " +
                         std::to_string(BodyBytes) + "\r\n\r\n" +
                         std::string(BodyBytes - Kib, 'x');
  std::vector<RawSocket> Open;
  for (size_t I = 0; I < Callers; ++I) {
    Open.push_back(RawSocket::connect(Node->httpPort()));
    Open.back().send(HalfSent);
  }
  size_t Refused = 0;
  waitUntil(
      [&] {
        for (RawSocket &Each : Open)
          Refused += Each.receive(std::chrono::milliseconds(0))
                             .starts_with("HTTP/1.1 503 ")
                         ? 1
                         : 0;
        return Refused >= Callers / 2;
      },
      Millis(30000), "callers are refused");
  size_t Peak = Node->process().peakMemoryKib();
  CHECK(Peak > 0);
#ifndef __SANITIZE_ADDRESS__ // It keeps freed memory back.
  CHECK(Peak < NodeMemoryKib);
#endif
  Open.clear();
  waitUntil(
      [&] {
        return Node->call("GET", "/metrics")
                   .Body_.find(
                       "\ncoltsfoot_receive_bytes{sender=\"caller\"} 0\n") !=
               std::string::npos;
      },
      Millis(10000), "no bytes are held after the callers have gone");
  std::string Metrics = Node->call("GET", "/metrics").Body_;
  CHECK(Metrics.find("\ncoltsfoot_receive_refused{sender=\"caller\"} ") !=
        std::string::npos);
  CHECK(Metrics.find("\ncoltsfoot_receive_refused{sender=\"caller\"} 0\n") ==
        std::string::npos);
}
