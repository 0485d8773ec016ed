#include "sealingkeys.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace coltsfoot;

TEST_CASE("a sealed payload opens only under its key and domain") {
  SealingKeys Keys("key-one");
  std::string Text = Keys.seal("ticket", "payload");
  CHECK(Keys.open("ticket", Text) == "payload");
  CHECK(!Keys.open("retry-token", Text));
  CHECK(!SealingKeys("key-two").open("ticket", Text));
  CHECK(Keys.open("empty", Keys.seal("empty", "")) == "");
}

// Nodes of two versions in one fleet must open each other's texts.
TEST_CASE("the sealed text of a payload does not change between versions") {
  CHECK(SealingKeys("key-one").seal("ticket", "payload") ==
        "cGF5bG9hZCc-AVHhoas9R_y2l7SG_bs");
}

TEST_CASE("the boundary between domain and payload is authenticated") {
  SealingKeys Keys("key");
  std::string Text = Keys.seal("a", "bc");
  CHECK(Text.substr(4) != Keys.seal("ab", "c").substr(2));
  CHECK(!Keys.open("ab", Text));
}

TEST_CASE("texts of the previous key open during a key rotation") {
  std::string Old = SealingKeys("one").seal("d", "p");
  SealingKeys Changed("two", "one");
  CHECK(Changed.open("d", Old) == "p");
  CHECK(SealingKeys("two").open("d", Changed.seal("d", "p")) == "p");
  CHECK(!SealingKeys("three", "two").open("d", Old));
}

TEST_CASE("changed, truncated and extended texts are rejected") {
  SealingKeys Keys("key", "old");
  std::string Text = Keys.seal("d", "some payload");
  for (size_t I = 0; I < Text.size(); ++I) {
    CHECK(!Keys.open("d", Text.substr(0, I)));
    std::string Changed = Text;
    Changed[I] = Changed[I] == 'A' ? 'B' : 'A';
    CHECK(!Keys.open("d", Changed));
  }
  CHECK(!Keys.open("d", Text + "A"));
  CHECK(!Keys.open("d", std::string(1'000'000, 'A')));
  CHECK(!Keys.open("d", ""));
}

TEST_CASE("empty keys are rejected") {
  CHECK_THROWS_AS(SealingKeys(""), std::invalid_argument);
  CHECK_THROWS_AS(SealingKeys("key", ""), std::invalid_argument);
}
