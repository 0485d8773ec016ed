#pragma once

#include "admissionrequest.h"
#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"
#include "policy.h"
#include "serviceresult.h"

#include <memory>
#include <string_view>
#include <vector>

namespace coltsfoot {

class Waiting;

/// The queue and the slots of one gate.
///
/// The owner offers each request, then takes the decisions that have become
/// due and acts on them: it starts or refuses. When a started request has
/// ended it reports finish() and takes again. Each offered request gets
/// exactly one decision, unless it is cancelled before.
///
/// Under PolicyKind::Adaptive:
/// - Protected work starts before all other work and is refused last. While
///   any other request waits, a protected one is refused only when its own
///   deadline has passed. Limits and floors of ranks do not hold it back.
/// - The rest starts by rank; within a rank, kinds share slot time by weight;
///   within a kind, calls further down a path go before roots, and clients
///   share evenly; within a client, oldest first in calm and newest first
///   under overload.
/// - A request is refused as soon as the time to its deadline is shorter than
///   the expected service time of its kind. A protected one is refused for
///   this only under an overload of protected work, after all other work.
/// - A full queue refuses from the least urgent rank, there from the kind and
///   the client with the longest backlog.
/// - Under overload the threshold refuses whole buckets of root requests, the
///   same on all gates. Within a rank only kinds above their fair share are
///   cut. A rank with a floor keeps that share.
///
/// Under the baselines the order is first in, first out.
///
/// Each call costs O(log n) in the requests that wait, plus O(ranks).
///
/// Not thread-safe; guarded by its owner's mutex.
class AdmissionQueue {
public:
  struct Options {
    /// Slots that the backend server announced; at least 1.
    int Slots_ = 1;
    /// Requests that may wait. Not applied under PolicyKind::None.
    int QueueLimit_ = 64;
    /// Expected service time of a kind before the first measurement.
    Millis InitialService_ = Millis(5);
    /// Whether the announced slots are exactly what the backend server works
    /// on at once.
    bool ExactSlots_ = false;
  };

  struct Start {
    bool operator==(const Start &) const = default;
  };
  struct Refuse {
    Reason Reason_ = Reason::Overload;
    bool operator==(const Refuse &) const = default;
  };
  /// What the owner must do with one request, which has left the queue.
  struct Decision {
    Waiting *Request_ = nullptr;
    std::variant<Start, Refuse> What_;
    bool operator==(const Decision &) const = default;
  };

  /// The clock must outlive the queue.
  AdmissionQueue(const Clock &Time, PolicyKind Policy, const Options &Given);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue &) = delete;
  AdmissionQueue &operator=(const AdmissionQueue &) = delete;

  /// Queues a request, which must not be queued already. Call take() after.
  void offer(Waiting &Request);
  /// Returns the decisions that are due, refusals and starts in their order;
  /// a started request holds a slot until finish(). The second form appends
  /// to a list that the caller reuses.
  std::vector<Decision> take();
  void take(std::vector<Decision> &Out);
  /// Frees the slot of a started request. Latency is the time that the
  /// backend server took. Call take() after.
  void finish(const AdmissionRequest &Request, Millis Latency,
              ServiceResult Result);
  /// Frees the slot of a started request that was cancelled before it ended
  /// or never reached the backend server; its latency says nothing.
  void abandon(const AdmissionRequest &Request);
  /// Withdraws a request without a decision. Returns whether it was here; a
  /// request whose decision has been taken is left alone.
  bool cancel(Waiting &Request);
  /// Lets time pass: call it every 20 to 100 ms, then take().
  void tick();
  /// Changes the announced slots.
  void setSlots(int Slots);

  /// Returns what is refused now, for any kind.
  AdmissionThreshold threshold() const;
  /// Returns what is refused now for one kind. A kind within its fair share
  /// meets a wider threshold than a flooding kind of the same rank.
  AdmissionThreshold threshold(std::string_view Kind) const;

  /// Returns the number of started and not finished requests.
  int running() const;
  /// Returns the number of queued requests.
  int waiting() const;
  /// Returns how many may run at once.
  int limit() const;
  /// Returns whether the last 100 ms were an overload.
  bool overloaded() const;
  /// Returns the running estimate of the service time of a kind.
  Millis expectedService(std::string_view Kind) const;
  /// Returns how long a refused caller should wait: the time to drain the
  /// backlog and a share of how long the overload has lasted. The caller adds
  /// jitter.
  Millis retryAfter() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
