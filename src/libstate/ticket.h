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

/// The right to run one non-idempotent call at most once. It carries the
/// gates that may run it, so that no nodes have to agree on a placement: a
/// candidate is offered the call only after every earlier one has closed it.
struct Ticket {
  std::string Service_;
  std::string Route_;
  std::string Client_;
  /// Identifies the ticket; random, unique over the fleet.
  std::string Serial_;
  /// Time of day from which on no gate starts the call. Each gate compares it
  /// with its own Clock::wallNow(); safety does not depend on whose clock is
  /// right. Sealed texts carry whole milliseconds.
  Millis ExpiryWall_;
  /// One to MaxCandidates gates, in the order in which they are asked.
  std::vector<NodeRef> Candidates_;
  bool operator==(const Ticket &) const = default;
};

/// Returns the text of a ticket that callers carry. Throws
/// std::invalid_argument when it names no candidate or too many.
std::string sealTicket(const Ticket &Sealed, const SealingKeys &Keys);

/// Returns the ticket of a text, or nothing when the text is forged, damaged
/// or no ticket. Expiry is not checked. Never throws on malformed text.
std::optional<Ticket> openTicket(std::string_view Text,
                                 const SealingKeys &Keys);

/// Returns a fresh serial: 128 random bits in 22 characters of base64url.
std::string newSerial();

/// Returns the SHA-256 of a request as 64 lower-case hexadecimal digits. The
/// parts are hashed with their lengths, so different requests cannot
/// concatenate to the same bytes.
std::string requestDigest(std::string_view Method, std::string_view Target,
                          std::string_view Body);

} // namespace coltsfoot
