#pragma once

#include "allowanceholder.h"
#include "allowancelimits.h"

#include "coltsfootpoint/time.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coltsfoot {

class PeerPool;
struct NodeContext;

namespace wire {
class AllowanceAsk;
class AllowanceGrant;
} // namespace wire

/// The allowances of teams over all nodes: borrows tokens from each team's
/// lender for the calls that enter at this node, and lends those of the teams
/// whose lender this node is. See docs/design/allowances.md.
///
/// Thread-safe. One mutex guards all tables; it is not held during calls to
/// peers or handlers.
class Allowances {
public:
  /// Whether a call may be made.
  struct Result {
    bool Granted_ = false;
    /// The token that the call has taken; nothing where it needs none or used
    /// one that can't be given back.
    std::optional<AllowanceHolder::Token> Token_;
    /// How long a refused caller should wait.
    Millis RetryAfter_;
  };
  using Handler = std::function<void(const Result &)>;

  /// Counts since the start of the node.
  struct Figures {
    uint64_t Granted_ = 0;    ///< Calls let through with a borrowed token.
    uint64_t Own_ = 0;        ///< Calls let through without a lender.
    uint64_t Refused_ = 0;    ///< Calls refused.
    uint64_t Asked_ = 0;      ///< Messages to lenders.
    uint64_t Unanswered_ = 0; ///< Messages to lenders without an answer.
    uint64_t Lent_ = 0;       ///< Tokens lent as a lender.
  };

  Allowances(boost::asio::io_context &Context, const NodeContext &ThisNode,
             PeerPool &Peers, AllowanceTolerance Tolerance);
  ~Allowances();
  Allowances(const Allowances &) = delete;
  Allowances &operator=(const Allowances &) = delete;

  /// Takes a token of the team's. The handler is called exactly once, with no
  /// lock held, possibly before this returns. A team without a limit, or one
  /// that the configuration no longer holds, is always granted.
  void take(const std::string &Team, const Handler &OnResult);
  /// Gives back the token of a call that has not run and never will.
  void giveBack(const std::string &Team, const AllowanceHolder::Token &Unused);

  /// Answers a peer that asks this node as a lender.
  wire::AllowanceGrant answer(const wire::AllowanceAsk &Ask);

  /// Takes notice of changes of the membership. To be called a few times a
  /// second, also while there are no calls.
  void tick();

  Figures figures() const;
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace coltsfoot
