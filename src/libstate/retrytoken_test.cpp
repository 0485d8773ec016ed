#include "retrytoken.h"

#include "ticket.h"

#include <doctest/doctest.h>
#include <limits>
#include <random>
#include <stdexcept>

using namespace coltsfoot;

namespace {

RetryToken sample() {
  return {.RequestId_ = "0123456789abcdef",
          .Client_ = "crew-7",
          .Service_ = "schedules",
          .Route_ = "visits",
          .Credits_ = 2,
          .ExpiryWall_ = Millis(1'700'000'000'000)};
}

} // namespace

TEST_CASE("retry tokens survive sealing and opening") {
  SealingKeys Keys("key");
  RetryToken Sealed = sample();
  for (int Credits : {0, 1, 300, std::numeric_limits<int>::max()}) {
    Sealed.Credits_ = Credits;
    CHECK(openRetryToken(sealRetryToken(Sealed, Keys), Keys) == Sealed);
  }
}

TEST_CASE("sealing a retry token with negative credits throws") {
  RetryToken Sealed = sample();
  Sealed.Credits_ = -1;
  CHECK_THROWS_AS(sealRetryToken(Sealed, SealingKeys("key")),
                  std::invalid_argument);
}

TEST_CASE("a ticket is not a retry token, nor the reverse") {
  SealingKeys Keys("key");
  std::string Token = sealRetryToken(sample(), Keys);
  CHECK(!openTicket(Token, Keys));
  Ticket Other{.Candidates_ = {{"10.0.0.1:1", 1}}};
  CHECK(!openRetryToken(sealTicket(Other, Keys), Keys));
  CHECK(!openRetryToken(Token, SealingKeys("other")));
}

TEST_CASE("a retry token with a damaged payload is rejected") {
  SealingKeys Keys("key");
  std::string Payload =
      *Keys.open("retry-token", sealRetryToken(sample(), Keys));
  for (size_t Size = 0; Size < Payload.size(); ++Size)
    CHECK(!openRetryToken(Keys.seal("retry-token", Payload.substr(0, Size)),
                          Keys));
  CHECK(!openRetryToken(Keys.seal("retry-token", Payload + 'x'), Keys));
  for (unsigned Seed = 0; Seed < 5'000; ++Seed) {
    std::mt19937 Random(Seed);
    std::string Damaged = Payload;
    Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    auto Opened = openRetryToken(Keys.seal("retry-token", Damaged), Keys);
    if (Opened)
      CHECK_MESSAGE(Opened->Credits_ >= 0, "seed " << Seed);
  }
}
