#include "coltsfootpoint/ids.h"

#include <array>
#include <cstdio>
#include <openssl/rand.h>
#include <stdexcept>
#include <xxhash.h>

namespace coltsfoot {

uint64_t randomBits() {
  uint64_t Bits = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char *>(&Bits), sizeof(Bits)) != 1)
    throw std::runtime_error("the random number generator failed");
  return Bits;
}

std::string newRequestId() {
  std::array<char, 17> Digits;
  std::snprintf(Digits.data(), Digits.size(), "%016llx",
                static_cast<unsigned long long>(randomBits()));
  return Digits.data();
}

int bucketOf(std::string_view RequestId) {
  return static_cast<int>(stableHash(RequestId) % BucketCount);
}

uint64_t stableHash(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

} // namespace coltsfoot
