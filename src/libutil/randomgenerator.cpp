#include "randomgenerator.h"

#include "coltsfootpoint/ids.h"

namespace coltsfoot {

std::mt19937_64 &threadRandomGenerator() {
  thread_local std::mt19937_64 Random(randomBits());
  return Random;
}

} // namespace coltsfoot
