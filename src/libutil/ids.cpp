#include "coltsfootpoint/ids.h"

#include <array>
#include <openssl/rand.h>
#include <stdexcept>
#include <utility>
#include <xxhash.h>

namespace coltsfoot {

namespace {

/// Random numbers that a thread has generated in advance. A short RAND_bytes()
/// call costs some 6,600 instructions, nearly all of them independent of the
/// size, so the numbers are generated in batches.
class RandomBuffer {
public:
  uint64_t next() {
    if (NextIndex_ == Bits_.size()) {
      if (RAND_bytes(reinterpret_cast<unsigned char *>(Bits_.data()),
                     static_cast<int>(sizeof(Bits_))) != 1)
        throw std::runtime_error(
            "RAND_bytes() of OpenSSL failed to generate random numbers");
      NextIndex_ = 0;
    }
    // A number may become a secret: no copy stays in the buffer.
    return std::exchange(Bits_[NextIndex_++], 0);
  }

private:
  std::array<uint64_t, 64> Bits_{};
  size_t NextIndex_ = Bits_.size();
};

} // namespace

uint64_t randomBits() {
  thread_local RandomBuffer Buffer;
  return Buffer.next();
}

std::string newRequestId() {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned DigitBits = 4;
  std::string Id(16, '0');
  uint64_t RemainingBits = randomBits();
  for (char &Digit : Id) {
    Digit = Digits[RemainingBits & 15U];
    RemainingBits >>= DigitBits;
  }
  return Id;
}

int admissionBucketOf(std::string_view RequestId) {
  return static_cast<int>(stableHash(RequestId) % AdmissionBucketCount);
}

uint64_t stableHash(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

} // namespace coltsfoot
