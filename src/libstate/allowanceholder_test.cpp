#include "allowanceholder.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis Start(100'000);
constexpr Millis Life(250);

bool takes(AllowanceHolder &Holder, Millis Now) {
  AllowanceHolder::Token Taken;
  return Holder.take(Taken, Now);
}

} // namespace

TEST_CASE("borrowed tokens are used until their end") {
  AllowanceHolder Holder;
  CHECK_FALSE(takes(Holder, Start));
  Holder.add(2, Start + Life, Start);
  CHECK(takes(Holder, Start));
  CHECK(takes(Holder, Start + Life - Millis(1)));
  CHECK_FALSE(takes(Holder, Start));
  Holder.add(2, Start + Life, Start);
  CHECK_FALSE(takes(Holder, Start + Life));
}

TEST_CASE("a token that is given back keeps its end") {
  AllowanceHolder Holder;
  Holder.add(1, Start + Life, Start);
  AllowanceHolder::Token Taken;
  REQUIRE(Holder.take(Taken, Start));
  Holder.giveBack(Taken, Start + Millis(100));
  CHECK(takes(Holder, Start + Millis(200)));
  Holder.giveBack(Taken, Start + Life);
  CHECK_FALSE(takes(Holder, Start + Life));
}

TEST_CASE("more is asked for in advance only while all of it is used") {
  AllowanceHolder Holder;
  CHECK(Holder.wanted(Start) == 0);
  CHECK(Holder.wanted(Start + Millis(100)) == 1);
  CHECK(Holder.wanted(Start + Millis(200)) == 2);
  CHECK(Holder.wanted(Start + Millis(300)) == 4);
  // Tokens that ended unused.
  Holder.add(3, Start + Millis(350), Start + Millis(300));
  CHECK(Holder.wanted(Start + Millis(400)) == 2);
  // A pause.
  CHECK(Holder.wanted(Start + Millis(5000)) == 1);
  CHECK(Holder.wanted(Start + Millis(9000)) == 0);
}

TEST_CASE("without a lender, a node lets through its own share on average") {
  AllowanceHolder Holder;
  std::mt19937_64 Random(1);
  int Granted = 0;
  for (int Ms = 0; Ms < 1'000'000; Ms += 10)
    Granted += Holder.takeOwn(0.25, Start + Millis(Ms), Random) ? 1 : 0;
  CHECK(Granted > 200);
  CHECK(Granted < 300);
}
