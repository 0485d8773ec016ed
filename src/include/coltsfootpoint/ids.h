#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoot {

/// A random 64-bit number that identifies one process of a node; each restart
/// draws a new one.
using Incarnation = uint64_t;

/// Identifies one process of a node: the address that the node advertises,
/// `ip:port`, and the incarnation of the process.
struct NodeRef {
  std::string Node_;
  Incarnation Incarnation_ = 0;
  auto operator<=>(const NodeRef &) const = default;
};

/// Returns 64 random bits from OpenSSL's generator, which the operating system
/// seeds; suitable for secrets. Each thread buffers random bits. A process must
/// therefore not fork and continue in both parent and child, which would then
/// return the same bits. Throws std::runtime_error when the generator fails.
///
/// Thread-safe.
uint64_t randomBits();

/// Returns a new request id: 16 lower-case hexadecimal digits.
std::string newRequestId();

/// The number of admission buckets that root requests are hashed into.
constexpr int AdmissionBucketCount = 128;

/// Returns the admission bucket of a root request, 0 to AdmissionBucketCount
/// - 1. Every node computes the same bucket for the same request.
int admissionBucketOf(std::string_view RequestId);

/// Returns a 64-bit hash that is the same on every node (XXH3).
uint64_t stableHash(std::string_view Bytes);

} // namespace coltsfoot
