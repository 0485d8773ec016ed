#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Seals small payloads so that any node of the fleet can tell that another
/// one issued them. The text is base64url of the payload and an HMAC-SHA256
/// over the domain and the payload, cut to 16 bytes. The payload is readable
/// by whoever holds the text. An immutable value; thread-safe.
class SealingKeys {
public:
  /// Takes the key that seals and, while keys are being changed, the one
  /// before it, which still opens. Throws std::invalid_argument for an empty
  /// key.
  explicit SealingKeys(const std::string &Current,
                       const std::optional<std::string> &Previous = {});

  /// Returns the sealed text. A text opens only under the domain that it was
  /// sealed for.
  std::string seal(std::string_view Domain, std::string_view Payload) const;

  /// Returns the payload of a text that was sealed for this domain with either
  /// key; nothing for any other text. Never throws on malformed text.
  std::optional<std::string> open(std::string_view Domain,
                                  std::string_view Text) const;

private:
  class Key;

  // Shared between copies; a key is never changed.
  std::shared_ptr<const Key> Current_;
  std::shared_ptr<const Key> Previous_;
};

} // namespace coltsfoot
