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

/// One request of a caller to the service `shop`.
struct ShopRequest {
  std::string Tag_;
  std::string Body_ = "chair";
  std::string Client_ = "client-1";
  /// Empty for a read, which goes to `/items`; else a booking.
  std::string Ticket_;
  /// Further header fields.
  std::vector<HttpField> Fields_;
  Millis Timeout_{15000};
};

/// What a caller was told of a request.
struct ShopAnswer {
  ShopRequest Request_;
  /// Nothing when no whole answer came.
  std::optional<HttpReply> Reply_;

  /// Returns whether both callers were told the same.
  bool operator==(const ShopAnswer &Other) const {
    return verdict() == Other.verdict() && reason() == Other.reason();
  }
  /// Returns `ran`, `not-run`, `may-have-run`, or `none` without an answer.
  std::string verdict() const;
  /// Returns the status, 0 without an answer.
  int status() const { return Reply_ ? Reply_->Status_ : 0; }
  /// Returns the reason of a refusal; empty for an answer.
  std::string reason() const;
  /// Returns the ticket that came with the answer; empty for none.
  std::string successor() const;
};

/// What a BookingFleet is made of.
struct BookingOptions {
  int Gates_ = 1;
  int Entries_ = 2;
  int DeadlineMs_ = 3000;
  /// Of each backend server, with its service left out.
  BackendOptions Backend_;
  /// Of each node; address and advertised address are set by the fleet.
  NodeSpec Node_;
};

/// A fleet for cases about bookings: gates that other nodes reach through a
/// proxy each, entries without a backend server, and a record of everything
/// that callers were told. The n-th entry has the address 127.0.0.(21+n), the
/// n-th gate 127.0.0.(11+n).
///
/// send() may be called by several threads at once.
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

  /// Returns a fresh ticket from an entry; an empty one when it gives none.
  std::string tryMint(size_t Entry = 0, const std::string &Client = "client-1");
  /// The same, but fails the case when there is none.
  std::string mint(size_t Entry = 0, const std::string &Client = "client-1");
  /// Returns a fresh ticket whose first candidate is the gate. It is sealed by
  /// the test with the fleet's key.
  std::string mintFor(size_t Gate);
  /// Returns the places of a ticket's gates, in the ticket's order.
  std::vector<size_t> gatesOf(const std::string &Ticket) const;

  /// Sends a request through a node and records what the caller was told.
  ShopAnswer send(const TestNode &Through, ShopRequest Request);
  /// The same in a thread of its own.
  std::future<ShopAnswer> sendLater(const TestNode &Through,
                                    ShopRequest Request);
  /// Makes the entries' connections to all gates.
  void warmUp();

  /// Kills a gate's process. Its backend server and proxy stay.
  void killGate(size_t Index);
  /// Starts a gate's process anew at the same advertised address.
  void restartGate(size_t Index);
  /// Kills an entry's process.
  void killEntry(size_t Index);
  /// Starts an entry's process anew.
  void restartEntry(size_t Index);

  /// Returns a number of a node's status.
  static int64_t figure(const TestNode &Node, std::string_view Key);
  /// Returns the number of runs of a tag in all backend servers.
  size_t runs(std::string_view Tag) const;
  /// Returns the number of recorded answers with a verdict.
  size_t told(std::string_view Verdict) const;
  /// Waits until no backend server has work, and checks all that callers were
  /// told: bookings ran at most once, what was refused as not run has no run,
  /// what ran has one, and each answer is whole and its request's own.
  void check();

private:
  NodeSpec specOf(int LastByte) const;
  void checkAnswer(const ShopAnswer &Answer) const;

  const BookingOptions Options_;
  Fleet Fleet_;
  int64_t Version_ = 0;
  std::vector<std::unique_ptr<FaultProxy>> Proxies_;
  std::vector<std::unique_ptr<TestNode>> Gates_;
  std::vector<std::unique_ptr<TestNode>> Entries_;
  std::vector<std::unique_ptr<BackendServer>> Backends_;
  mutable std::mutex Mutex_; // guards Answers_
  std::vector<ShopAnswer> Answers_;
};

} // namespace coltsfoot
