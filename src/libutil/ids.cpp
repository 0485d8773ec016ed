#include "coltsfootpoint/ids.h"

#include <array>
#include <openssl/rand.h>
#include <stdexcept>
#include <utility>
#include <xxhash.h>

namespace coltsfoot {

namespace {

/// Random numbers that a thread has drawn and not used yet. A small draw of
/// OpenSSL costs some 6,600 instructions, nearly all of them whatever its size.
class DrawnBits {
public:
  uint64_t next() {
    if (Used_ == Bits_.size()) {
      if (RAND_bytes(reinterpret_cast<unsigned char *>(Bits_.data()),
                     static_cast<int>(sizeof(Bits_))) != 1)
        throw std::runtime_error("the random number generator failed");
      Used_ = 0;
    }
    // What was handed out is kept nowhere else.
    return std::exchange(Bits_[Used_++], 0);
  }

private:
  std::array<uint64_t, 64> Bits_{};
  size_t Used_ = Bits_.size();
};

} // namespace

uint64_t randomBits() {
  thread_local DrawnBits Drawn;
  return Drawn.next();
}

std::string newRequestId() {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned DigitBits = 4;
  std::string Id(16, '0');
  uint64_t Rest = randomBits();
  for (char &Digit : Id) {
    Digit = Digits[Rest & 15U];
    Rest >>= DigitBits;
  }
  return Id;
}

int bucketOf(std::string_view RequestId) {
  return static_cast<int>(stableHash(RequestId) % BucketCount);
}

uint64_t stableHash(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

} // namespace coltsfoot
