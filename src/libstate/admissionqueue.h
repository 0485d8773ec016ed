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

class QueuedRequest;

/// The admission queue and the concurrency slots of one gate.
///
/// The owner offers each request, then takes the pending decisions and starts
/// or refuses the requests accordingly. When a started request has ended, the
/// owner calls finish() and takes decisions again. Each offered request gets
/// exactly one decision, unless it is cancelled before.
///
/// Under PolicyKind::Adaptive:
/// - Protected requests start before all others and are refused last. While
///   any other request waits, a protected one is refused only when its own
///   deadline has passed. Limits and floors of ranks do not restrict it.
/// - Other requests start by rank. Within a rank, kinds share slot time by
///   weight. Within a kind, calls deeper in the call tree start before root
///   calls, and clients get equal shares. Within a client, the oldest request
///   starts first, or the newest one under overload.
/// - A request is refused as soon as the time to its deadline is shorter than
///   the service time measured for its kind. A protected one is refused for
///   this only under an overload of protected requests, after all others.
/// - A full queue refuses requests of the least urgent rank, and within it of
///   the kind with the longest backlog: root calls before calls deeper in the
///   call tree, and first those of the client with the longest backlog.
/// - Under overload the threshold refuses the requests of the highest buckets.
///   A bucket belongs to a root request and its whole call tree, so all gates
///   refuse the same trees first. Within a rank only kinds above their fair
///   share are restricted. A rank with a floor keeps the share that its floor
///   guarantees.
///
/// Under the baseline policies the order is first in, first out.
///
/// Each operation on a request takes O(log n) for n waiting requests, plus
/// O(ranks). In addition all kinds are visited at the end of each control
/// period, by threshold(), and at most once per millisecond by take().
///
/// Not thread-safe; the owner's mutex must guard all calls.
class AdmissionQueue {
public:
  struct Options {
    /// Slots that the backend server announced; at least 1.
    int Slots_ = 1;
    /// The most requests that may wait; ignored under PolicyKind::None.
    int QueueLimit_ = 64;
    /// Expected service time before the first measurement of any kind; used
    /// only under PolicyKind::Adaptive.
    Millis InitialServiceTime_ = Millis(5);
    /// Whether the announced slots are exactly the number of requests that the
    /// backend server processes concurrently.
    bool ExactSlots_ = false;
  };

  struct Start {
    bool operator==(const Start &) const = default;
  };
  struct Refuse {
    Reason Reason_ = Reason::Overload;
    bool operator==(const Refuse &) const = default;
  };
  /// What the owner must do with one request, which is no longer in the queue.
  struct Decision {
    QueuedRequest *Request_ = nullptr;
    std::variant<Start, Refuse> Action_;
    bool operator==(const Decision &) const = default;
  };

  /// The clock must outlive the queue.
  AdmissionQueue(const Clock &Time, PolicyKind Policy, const Options &Opts);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue &) = delete;
  AdmissionQueue &operator=(const AdmissionQueue &) = delete;

  /// Adds a request, which must not be in the queue. Call take() afterwards.
  void offer(QueuedRequest &Request);
  /// Makes the decisions that are due and returns them, starts and refusals, in
  /// the order in which they were made. A started request occupies a slot until
  /// finish() or abandon(). The second form appends to a list, which lets the
  /// caller reuse its memory.
  std::vector<Decision> take();
  void take(std::vector<Decision> &Out);
  /// Frees the slot of a started request. Latency is the time that the backend
  /// server took. Call take() afterwards.
  void finish(const AdmissionRequest &Request, Millis Latency,
              ServiceResult Result);
  /// Frees the slot of a started request that was cancelled before it ended or
  /// never reached the backend server, so that it has no meaningful latency.
  void abandon(const AdmissionRequest &Request);
  /// Removes a request without a decision. Returns false and does nothing if
  /// the request is not in the queue or take() has returned its decision.
  bool cancel(QueuedRequest &Request);
  /// Ends the control periods that are due. Call it every 20 to 100 ms,
  /// followed by take().
  void tick();
  /// Changes the announced slots; the concurrency limit scales with them.
  void setSlots(int Slots);

  /// Returns the threshold that currently holds for every kind.
  AdmissionThreshold threshold() const;
  /// Returns the threshold that currently holds for one kind. A kind within its
  /// fair share has a higher threshold than a kind of the same rank that
  /// exceeds its own.
  AdmissionThreshold threshold(std::string_view Kind) const;

  /// Returns the number of started and unfinished requests.
  int running() const;
  /// Returns the number of queued requests.
  int waiting() const;
  /// Returns the concurrency limit.
  int limit() const;
  /// Returns whether the gate was overloaded in the last control period of
  /// 100 ms.
  bool overloaded() const;
  /// Returns the estimated service time of a kind.
  Millis expectedServiceTime(std::string_view Kind) const;
  /// Returns how long a refused caller should wait before a retry: the time to
  /// drain the queue plus a share of the duration of the overload so far. It
  /// contains no jitter.
  Millis retryAfter() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
