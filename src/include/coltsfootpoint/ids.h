#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoot {

/// A random 64-bit number that identifies one process of a node; a restarted
/// node draws a new one.
using Incarnation = uint64_t;

/// The address that a node advertises, `ip:port`, together with the process
/// that answers there.
struct NodeRef {
  std::string Node_;
  Incarnation Incarnation_ = 0;
  auto operator<=>(const NodeRef &) const = default;
};

/// Returns 64 random bits from OpenSSL's generator, which is seeded by the
/// operating system; fit for secrets. A thread draws many at once, so a process
/// must not fork and go on in both. Throws std::runtime_error when the
/// generator fails.
uint64_t randomBits();

/// Returns a fresh request id: 16 lower-case hexadecimal digits.
std::string newRequestId();

/// Returns the number of admission buckets that root requests hash into.
constexpr int BucketCount = 128;

/// Returns the admission bucket of a root request, 0 to BucketCount - 1. The
/// same request falls into the same bucket on every node.
int bucketOf(std::string_view RequestId);

/// Returns a 64-bit hash that is the same on every node (XXH3).
uint64_t stableHash(std::string_view Bytes);

} // namespace coltsfoot
