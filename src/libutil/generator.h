#pragma once

#include <random>

namespace coltsfoot {

/// Returns the calling thread's generator for choices that need no secrecy,
/// such as jitter and load balancing. It is seeded from randomBits() once and
/// lives as long as the thread.
std::mt19937_64 &threadGenerator();

} // namespace coltsfoot
