#pragma once

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoot {

/// A call that the backend server of this VM is running. While it runs, the
/// backend server may make nested calls through the node of this VM.
struct ParentCall {
  /// Names this call in its nested calls, which carry it in the
  /// Coltsfoot-Context header. Random, unless nested calls name their parent by
  /// request id, as with a call dialect.
  std::string AttemptKey_;
  /// Id of the root request; with a call dialect, of this call.
  std::string RequestId_;
  std::string Client_;
  std::string Ticket_; ///< Serial; empty for an idempotent call.
  int Bucket_ = 0;
  int Depth_ = 0; ///< Zero for a root call.
  int RankOrder_ = 0;
  bool Idempotent_ = true;
  bool Protected_ = false;
  Millis Deadline_;       ///< Compared with Clock::now().
  std::string RouteKey_;  ///< See routeKey().
  int RootRankOrder_ = 0; ///< Of the rank of the root request.
  /// Whether this run, or one above it, is an extra arrival of a request that
  /// arrived before.
  bool Repeated_ = false;
  std::string Team_; ///< Of the root request; empty for none.
  bool operator==(const ParentCall &) const = default;
};

/// The nested call may be made, with Credits_ retry credits lent to it.
struct NestedGranted {
  int Credits_ = 0;
  bool IsRetry_ = false; ///< The step was started before; a credit was spent.
  bool operator==(const NestedGranted &) const = default;
};

/// The nested call must not be made: BadRequest if the parent is unknown,
/// Cancelled if it has ended, BudgetSpent if no credit is left for a retry.
struct NestedRefused {
  Reason Reason_ = Reason::None;
  bool operator==(const NestedRefused &) const = default;
};

using NestedStartResult = std::variant<NestedGranted, NestedRefused>;

/// How many nested calls have ended well, by the key of their route.
using RanCalls = std::map<std::string, int, std::less<>>;

/// How long the entry of an ended parent is kept, so that late nested calls are
/// refused as Cancelled instead of BadRequest.
constexpr Millis EndedParentRetention = Millis(10'000);

/// The calls that run at the backend server of this VM and can be parents of
/// nested calls, by attempt key.
///
/// Thread-safe. One mutex guards the whole table. No other lock is taken and no
/// callback is called while it is held.
class AttemptTable {
public:
  /// The clock must outlive the table.
  explicit AttemptTable(const Clock &TimeSource);
  ~AttemptTable();
  AttemptTable(const AttemptTable &) = delete;
  AttemptTable &operator=(const AttemptTable &) = delete;

  /// Adds a parent with the retry credits that came with its offer. Throws
  /// std::invalid_argument if the table already contains its key.
  void open(ParentCall Call, int Credits);
  /// Adds a parent as open() does. Returns false and adds nothing if the table
  /// already contains its key.
  bool tryOpen(const ParentCall &Call, int Credits);

  /// Returns whether the table has an entry for the key: a parent that runs, or
  /// an ended one whose entry is still kept.
  bool contains(std::string_view Key) const;

  /// Returns a parent that has not ended, or nullopt.
  std::optional<ParentCall> find(std::string_view Key) const;

  /// Starts a nested call and lends it credits. Every call with the same step
  /// name after the first is a retry by the backend server: it costs one credit
  /// and is refused if none is left. If the backend server names no step, pass
  /// another text that tells its nested calls apart, such as method and target.
  NestedStartResult startNested(std::string_view Key,
                                std::string_view StepName);

  /// Records the key of the route that a nested call uses. Has no effect once
  /// the parent has ended.
  void addCalledRoute(std::string_view Key, std::string Route);
  /// Returns the recorded routes of a parent that has not ended, without
  /// duplicates.
  std::vector<std::string> calledRoutes(std::string_view Key) const;

  /// Records that a nested call of this route has ended well. Has no effect
  /// once the parent has ended.
  void countRan(std::string_view Key, std::string_view Route);
  /// Returns how many nested calls of each route have ended well, by the key of
  /// the route; empty for a parent that is unknown or has ended.
  RanCalls ranCalls(std::string_view Key) const;

  /// Gives the unspent credits of a nested call back to its parent. Call it at
  /// most once for each NestedGranted, with at most the credits that were lent.
  /// Has no effect once the parent has ended.
  void endNested(std::string_view Key, int Unspent);

  /// Returns the ticket recorded for a step of a parent that has not ended, or
  /// nullopt.
  std::optional<std::string> stepTicket(std::string_view Key,
                                        std::string_view StepName) const;

  /// Records a ticket for a step unless the step has one already, and returns
  /// the ticket of the step. Returns an empty string if the parent is unknown
  /// or has ended; the nested call must then not be made.
  std::string setStepTicketIfAbsent(std::string_view Key,
                                    std::string_view StepName,
                                    std::string Ticket);

  /// Replaces the ticket of a step after every candidate has closed it. Has no
  /// effect if the step has another ticket by now, or if the parent is unknown
  /// or has ended.
  void replaceStepTicket(std::string_view Key, std::string_view StepName,
                         std::string_view ClosedTicket, std::string NewTicket);

  /// Registers a handler that is called once when the parent ends, on the
  /// thread that calls close(). If the parent has ended or is unknown, the
  /// handler is called before this returns.
  void onClose(std::string_view Key, std::function<void()> Handler);

  /// Ends a parent, calls its close handlers and returns the credits that it
  /// still holds; zero if it is unknown or has ended. Credits that are lent to
  /// nested calls at this time count as spent. Also removes the parents that
  /// ended EndedParentRetention ago or earlier.
  int close(std::string_view Key);

  /// Returns the number of parents that have not ended.
  size_t openCount() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace coltsfoot
