#pragma once

#include "keydigest.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace coltsfoot {

struct TeamResource;

/// The teams of a configuration by the digests of their keys. A value type; not
/// thread-safe while it is modified.
class KeyIndex {
public:
  /// Adds the keys of a team, of which none may be in the index. Throws
  /// ResourceError, without a change, if another team has one of them.
  void add(const TeamResource &Team);
  /// Removes the keys of a team.
  void remove(const TeamResource &Team);
  /// Returns the name of the team that has the key, or null.
  const std::string *teamOf(const KeyDigest &Key) const;

private:
  struct Hash {
    size_t operator()(const KeyDigest &Key) const { return Key.hash(); }
  };
  std::unordered_map<KeyDigest, std::string, Hash> Teams_;
};

} // namespace coltsfoot
