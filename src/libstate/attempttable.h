#pragma once

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoot {

/// A call that the backend server of this VM is running, under which it may
/// make nested calls at its own node.
struct ParentCall {
  /// Random; the backend server passes it back in Coltsfoot-Context.
  std::string AttemptKey_;
  std::string RequestId_; ///< Of the root request.
  std::string Client_;
  std::string Ticket_; ///< The serial, or empty for an idempotent call.
  int Bucket_ = 0;
  int Depth_ = 0; ///< Zero for a root call.
  int RankOrder_ = 0;
  bool Idempotent_ = true;
  bool Protected_ = false;
  Millis Deadline_; ///< On the time line of Clock::now().
  bool operator==(const ParentCall &) const = default;
};

/// A nested call may be made, with these credits lent to it.
struct NestedLent {
  int Credits_ = 0;
  bool Repeat_ = false; ///< The step was started before; it cost a credit.
  bool operator==(const NestedLent &) const = default;
};

/// A nested call must not be made: BadRequest when the parent is unknown,
/// Cancelled when it has ended, BudgetSpent when a repeat cannot be paid for.
struct NestedRefused {
  Reason Reason_ = Reason::None;
  bool operator==(const NestedRefused &) const = default;
};

using NestedStart = std::variant<NestedLent, NestedRefused>;

/// How long an ended parent is remembered, so that late nested calls are told
/// that it ended.
constexpr Millis EndedParentGrace = Millis(10'000);

/// The calls that run at the backend server of this VM, as parents of nested
/// calls.
///
/// Thread-safe. One mutex guards all; it is a leaf: nothing else is locked
/// and no callback is called while it is held.
class AttemptTable {
public:
  /// The clock must outlive the table.
  explicit AttemptTable(const Clock &Time);
  ~AttemptTable();
  AttemptTable(const AttemptTable &) = delete;
  AttemptTable &operator=(const AttemptTable &) = delete;

  /// Records a parent with the credits that its offer brought. Throws
  /// std::invalid_argument when its key is known already.
  void open(ParentCall Parent, int Credits);

  /// Returns whether the key is taken, by a parent that runs or one that has
  /// ended and is still remembered.
  bool knows(std::string_view Key) const;

  /// Returns a parent that has not ended.
  std::optional<ParentCall> find(std::string_view Key) const;

  /// Starts a nested call. The first one of a step is lent credits; a further
  /// one is a retry by the backend server, which costs a credit first and is
  /// refused without one. A call without a step name is told apart by whatever
  /// the caller passes in its place, such as method and target.
  NestedStart startNested(std::string_view Key, std::string_view Step);

  /// Notes the route, by its key, that a nested call uses. Without effect once
  /// the parent has ended.
  void noteCalled(std::string_view Key, std::string Route);
  /// Returns the routes noted for a parent that has not ended, each once.
  std::vector<std::string> called(std::string_view Key) const;

  /// Takes back what a nested call left unspent; call at most once for each
  /// NestedLent, with no more than it lent. Without effect once the parent has
  /// ended.
  void endNested(std::string_view Key, int Unspent);

  /// Returns the ticket remembered for a step of a parent that has not ended.
  std::optional<std::string> stepTicket(std::string_view Key,
                                        std::string_view Step) const;

  /// Remembers a ticket for a step and returns the one that counts: the first
  /// that was remembered. Returns an empty string when the parent is unknown
  /// or has ended; the nested call must then not be made.
  std::string rememberTicket(std::string_view Key, std::string_view Step,
                             std::string Ticket);

  /// Puts another ticket in the place of one that every candidate has closed;
  /// without effect when the step has another one by now or the parent is
  /// unknown or has ended.
  void replaceTicket(std::string_view Key, std::string_view Step,
                     std::string_view Closed, std::string Fresh);

  /// Has a handler called once when the parent ends, on the thread that calls
  /// close(); at once when it has ended or is unknown.
  void onClose(std::string_view Key, std::function<void()> Handler);

  /// Ends a parent, calls its close handlers and returns the credits that it
  /// still held; zero when it is unknown or has ended. What is lent to nested
  /// calls stays spent. Parents that ended EndedParentGrace ago are forgotten.
  int close(std::string_view Key);

  /// Returns the number of parents that have not ended.
  size_t openCount() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace coltsfoot
