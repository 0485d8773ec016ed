#pragma once

#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/time.h"
#include "sealingkeys.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// The largest number of candidates that a ticket names.
constexpr size_t MaxCandidates = 3;

/// Authorizes one non-idempotent call to run at most once. It lists the gates
/// that may run the call, so that nodes need no agreement on a placement: a
/// candidate is offered the call only after all earlier ones have closed the
/// ticket.
struct Ticket {
  std::string Service_;
  std::string Route_;
  std::string Client_;
  /// Identifies the ticket; random and unique in the fleet.
  std::string Serial_;
  /// Time of day from which no gate starts the call. Each gate compares it with
  /// its own Clock::wallNow(); the call runs at most once even if the clocks of
  /// the nodes differ. A sealed text carries whole milliseconds.
  Millis ExpiryWall_;
  /// One to MaxCandidates gates, in the order in which they are offered the
  /// call.
  std::vector<NodeRef> Candidates_;
  bool operator==(const Ticket &) const = default;
};

/// Returns the sealed text of a ticket, which callers send with the call.
/// Throws std::invalid_argument if the ticket has no candidate or more than
/// MaxCandidates.
std::string sealTicket(const Ticket &Sealed, const SealingKeys &Keys);

/// Returns the ticket in a sealed text, or nullopt if the text is forged,
/// damaged or not a ticket. Does not check the expiry and does not throw on
/// malformed text.
std::optional<Ticket> openTicket(std::string_view Text,
                                 const SealingKeys &Keys);

/// Returns a new serial: 128 random bits in 22 characters of base64url.
std::string newSerial();

/// Returns the SHA-256 of a request as 64 lower-case hexadecimal digits. The
/// length of each part is hashed with it, so that two different requests never
/// yield the same bytes to hash.
std::string requestDigest(std::string_view Method, std::string_view Target,
                          std::string_view Body);

} // namespace coltsfoot
