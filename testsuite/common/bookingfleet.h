#pragma once

#include "faultproxy.h"
#include "fleet.h"

#include "ticket.h"

#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoot {

/// A request of a caller to the service `shop`.
struct ShopRequest {
  std::string Tag_;
  std::string Body_ = "chair";
  std::string Client_ = "client-1";
  /// With a ticket, the request is a booking; without one, it is a read of
  /// `/items`.
  std::string Ticket_;
  /// Additional header fields.
  std::vector<HttpField> Fields_;
  Millis Timeout_{15000};
};

/// The outcome of a request as its caller saw it.
struct ShopOutcome {
  ShopRequest Request_;
  /// Empty when no complete response arrived.
  std::optional<HttpReply> Reply_;

  /// Compares only verdict and reason.
  bool operator==(const ShopOutcome &Other) const {
    return verdict() == Other.verdict() && reason() == Other.reason();
  }
  /// Returns `ran`, `not-run` or `may-have-run`, or `none` without a response.
  std::string verdict() const;
  /// Returns the HTTP status, or 0 without a response.
  int status() const { return Reply_ ? Reply_->Status_ : 0; }
  /// Returns the reason of a refusal; empty when the response has none.
  std::string reason() const;
  /// Returns the successor ticket in the response; empty when it has none.
  std::string successor() const;
};

/// The configuration of a BookingFleet.
struct BookingOptions {
  int Gates_ = 1;
  int Entries_ = 2;
  int DeadlineMs_ = 3000;
  /// Options of each backend server. The fleet sets the service.
  BackendOptions Backend_;
  /// Options of each node. The fleet sets the address and the advertised
  /// address.
  NodeSpec Node_;
};

/// A fleet for tests of bookings, which records the outcome of each request.
/// Each gate has a backend server, and a proxy through which other nodes reach
/// the gate. Entries have no backend server. The n-th entry has the address
/// 127.0.0.(21+n), the n-th gate 127.0.0.(11+n), where n counts from 0.
///
/// send() may be called from several threads concurrently.
class BookingFleet {
public:
  explicit BookingFleet(const BookingOptions &Options = {});
  ~BookingFleet();
  BookingFleet(const BookingFleet &) = delete;
  BookingFleet &operator=(const BookingFleet &) = delete;

  Fleet &fleet() { return Fleet_; }
  size_t gateCount() const { return Gates_.size(); }
  TestNode &gate(size_t Index = 0) { return *Gates_[Index]; }
  TestNode &entry(size_t Index = 0) { return *Entries_[Index]; }
  FaultProxy &proxy(size_t Index = 0) { return *Proxies_[Index]; }
  BackendServer &backend(size_t Index = 0) { return *Backends_[Index]; }

  /// Requests a new ticket from an entry. Returns an empty string when the
  /// entry issues none.
  std::string tryRequestTicket(size_t Entry = 0,
                               const std::string &Client = "client-1");
  /// Repeats tryRequestTicket() until the entry issues a ticket. Throws
  /// WaitTimeout if that takes more than 20 s.
  std::string requestTicket(size_t Entry = 0,
                            const std::string &Client = "client-1");
  /// Returns a new ticket whose first candidate is the gate: requests a ticket,
  /// moves the gate to the front of its candidates and seals it again. Fails
  /// the test if the gate is not among them.
  std::string requestTicketFor(size_t Gate);
  /// Returns the indices of the gates that are a ticket's candidates, in the
  /// ticket's order.
  std::vector<size_t> candidateGates(const std::string &Ticket) const;

  /// Sends a request through a node and records the outcome.
  ShopOutcome send(const TestNode &Through, ShopRequest Request);
  /// Calls send() on a separate thread. The node must outlive the call.
  std::future<ShopOutcome> sendAsync(const TestNode &Through,
                                     ShopRequest Request);
  /// Sends one booking from each entry to each gate, so that all connections
  /// between them are open.
  void warmUp();

  /// Kills a gate's process. Its backend server and proxy keep running.
  void killGate(size_t Index);
  /// Starts a new process for a gate, with the same advertised address.
  void restartGate(size_t Index);
  /// Kills an entry's process.
  void killEntry(size_t Index);
  /// Starts a new process for an entry.
  void restartEntry(size_t Index);

  /// Returns a number from a node's `/v1/status`.
  static int64_t statusNumber(const TestNode &Node, std::string_view Key);
  /// Returns the number of runs with a tag on all backend servers.
  size_t runs(std::string_view Tag) const;
  /// Returns the number of recorded outcomes with this verdict.
  size_t countOutcomes(std::string_view Verdict) const;
  /// Waits until all backend servers are idle, then checks the recorded
  /// outcomes against the runs: no booking ran more than once, no request with
  /// the verdict `not-run` ran, each request with the verdict `ran` did, and
  /// each response with status 200 carries the tag and the body digest of its
  /// request.
  void checkOutcomes();

private:
  NodeSpec specOf(int LastByte) const;
  void checkOutcome(const ShopOutcome &Outcome) const;

  const BookingOptions Options_;
  Fleet Fleet_;
  int64_t Version_ = 0;
  std::vector<std::unique_ptr<FaultProxy>> Proxies_;
  std::vector<std::unique_ptr<TestNode>> Gates_;
  std::vector<std::unique_ptr<TestNode>> Entries_;
  std::vector<std::unique_ptr<BackendServer>> Backends_;
  mutable std::mutex Mutex_; // guards Outcomes_
  std::vector<ShopOutcome> Outcomes_;
};

} // namespace coltsfoot
