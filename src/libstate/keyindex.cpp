#include "keyindex.h"

#include "resource.h"

namespace coltsfoot {

void KeyIndex::add(const TeamResource &Team) {
  for (size_t I = 0; I < Team.Keys_.size(); ++I) {
    const std::string *Other = teamOf(Team.Keys_[I]);
    if (Other && *Other != Team.Name_)
      throw ResourceError("key_digests[" + std::to_string(I) + "]",
                          "team '" + *Other + "' has the same key");
  }
  for (const KeyDigest &Key : Team.Keys_)
    Teams_.emplace(Key, Team.Name_);
}

void KeyIndex::remove(const TeamResource &Team) {
  for (const KeyDigest &Key : Team.Keys_)
    Teams_.erase(Key);
}

const std::string *KeyIndex::teamOf(const KeyDigest &Key) const {
  auto Found = Teams_.find(Key);
  return Found == Teams_.end() ? nullptr : &Found->second;
}

} // namespace coltsfoot
