#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Authenticates small payloads, so that each node of the fleet can verify that
/// a node of the fleet issued them. A sealed text is the base64url encoding of
/// the payload and an HMAC-SHA256 over the domain and the payload, truncated to
/// 16 bytes. The payload is not encrypted. Immutable and thread-safe.
class SealingKeys {
public:
  /// Current seals and opens texts. Previous only opens them; it is given while
  /// a key rotation is in progress. Throws std::invalid_argument for an empty
  /// key.
  explicit SealingKeys(const std::string &Current,
                       const std::optional<std::string> &Previous = {});

  /// Returns the sealed text. It opens only under the domain that it was sealed
  /// for, and only if it has at most 8192 characters.
  std::string seal(std::string_view Domain, std::string_view Payload) const;

  /// Returns the payload of a text that was sealed for this domain with either
  /// key, or nullopt for any other text. Does not throw on malformed text.
  std::optional<std::string> open(std::string_view Domain,
                                  std::string_view Text) const;

private:
  class Key;

  // Copies of this object share the keys, which are immutable.
  std::shared_ptr<const Key> Current_;
  std::shared_ptr<const Key> Previous_;
};

} // namespace coltsfoot
