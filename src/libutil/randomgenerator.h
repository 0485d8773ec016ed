#pragma once

#include <random>

namespace coltsfoot {

/// Returns the calling thread's pseudo-random number generator, for choices
/// that need no secrecy, such as jitter and load balancing. It is seeded once
/// with randomBits() and lives as long as the thread.
std::mt19937_64 &threadRandomGenerator();

} // namespace coltsfoot
