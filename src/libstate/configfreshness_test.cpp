#include "configfreshness.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("nothing is known without evidence") {
  ConfigFreshness Known;
  CHECK_FALSE(Known.age(7, Millis(1000)));
}

TEST_CASE("the latest evidence counts, in whichever order it arrives") {
  ConfigFreshness Known;
  Known.onEvidence(Millis(500), 7, 7);
  CHECK(Known.age(7, Millis(1000)) == Millis(500));
  Known.onEvidence(Millis(800), 7, 7);
  Known.onEvidence(Millis(600), 7, 7);
  CHECK(Known.age(7, Millis(1000)) == Millis(200));
}

TEST_CASE("evidence of a newer version counts once that is in force") {
  ConfigFreshness Known;
  Known.onEvidence(Millis(500), 7, 7);
  Known.onEvidence(Millis(900), 9, 7);
  CHECK(Known.age(7, Millis(1000)) == Millis(500));
  CHECK(Known.age(8, Millis(1000)) == Millis(500));
  CHECK(Known.age(9, Millis(1000)) == Millis(100));
}

// Guards against a peer that is behind making a taken key valid again.
TEST_CASE("a peer that is behind vouches only for the time of which it knows") {
  ConfigFreshness Known;
  Known.onEvidence(Millis(900), 9, 7);
  CHECK(Known.age(9, Millis(1000)) == Millis(100));
  Known.onEvidence(Millis(300), 7, 7);
  CHECK(Known.age(9, Millis(1000)) == Millis(100));
}
