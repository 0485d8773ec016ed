#include "ticket.h"

#include <doctest/doctest.h>
#include <random>
#include <set>
#include <stdexcept>

using namespace coltsfoot;

namespace {

Ticket sample() {
  return {.Service_ = "chair-bookings",
          .Route_ = "book-chair",
          .Client_ = "shop-kochi-00417-phone-2",
          .Serial_ = newSerial(),
          .ExpiryWall_ = Millis(1'700'000'123'456),
          .Candidates_ = {{"10.11.112.113:17000", 0xffffffffffffffff},
                          {"10.21.112.113:17000", 1},
                          {"10.31.112.113:17000", 0x8000000000000000}}};
}

} // namespace

TEST_CASE("a sealed ticket opens to an equal ticket") {
  SealingKeys Keys("key");
  Ticket Sealed = sample();
  CHECK(openTicket(sealTicket(Sealed, Keys), Keys) == Sealed);
  Sealed.Candidates_ = {{"node-with-a-name:80", 7}};
  Sealed.Client_.clear();
  CHECK(openTicket(sealTicket(Sealed, Keys), Keys) == Sealed);
}

TEST_CASE("a sealed ticket with three candidates has under 250 characters") {
  CHECK(sealTicket(sample(), SealingKeys("key")).size() < 250);
}

TEST_CASE("a ticket must have one to three candidates") {
  SealingKeys Keys("key");
  Ticket Sealed = sample();
  Sealed.Candidates_.push_back({"10.0.0.1:1", 1});
  CHECK_THROWS_AS(sealTicket(Sealed, Keys), std::invalid_argument);
  Sealed.Candidates_.clear();
  CHECK_THROWS_AS(sealTicket(Sealed, Keys), std::invalid_argument);
}

TEST_CASE("authentic payloads that are not tickets are rejected") {
  SealingKeys Keys("key");
  Ticket Sealed = sample();
  std::string Payload = *Keys.open("ticket", sealTicket(Sealed, Keys));
  for (size_t Size = 0; Size < Payload.size(); ++Size)
    CHECK(!openTicket(Keys.seal("ticket", Payload.substr(0, Size)), Keys));
  CHECK(!openTicket(Keys.seal("ticket", Payload + 'x'), Keys));
  CHECK(!openTicket(Keys.seal("retry-token", Payload), Keys));
}

TEST_CASE("random bytes never open and damaged payloads never throw") {
  SealingKeys Keys("key");
  std::string Text = sealTicket(sample(), Keys);
  std::string Payload = *Keys.open("ticket", Text);
  for (unsigned Seed = 0; Seed < 20'000; ++Seed) {
    std::mt19937 Random(Seed);
    std::string Garbage(Random() % 300, '\0');
    for (char &C : Garbage)
      C = static_cast<char>(Random());
    CHECK_MESSAGE(!openTicket(Garbage, Keys), "seed " << Seed);
    // A damaged payload that a faulty node seals is authentic, so it reaches
    // the parser.
    std::string Damaged = Payload;
    Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    std::optional<Ticket> Opened =
        openTicket(Keys.seal("ticket", Damaged), Keys);
    if (Opened)
      CHECK_MESSAGE(openTicket(sealTicket(*Opened, Keys), Keys) == Opened,
                    "seed " << Seed);
  }
}

TEST_CASE("serials are unique") {
  std::set<std::string> Seen;
  for (int I = 0; I < 10'000; ++I) {
    std::string Serial = newSerial();
    CHECK(Serial.size() == 22);
    CHECK(Seen.insert(Serial).second);
  }
}

TEST_CASE("the request digest depends on every part of the request") {
  std::string Digest = requestDigest("POST", "/book", "a=1");
  CHECK(Digest.size() == 64);
  CHECK(Digest == requestDigest("POST", "/book", "a=1"));
  CHECK(Digest != requestDigest("PUT", "/book", "a=1"));
  CHECK(Digest != requestDigest("POST", "/book?", "a=1"));
  CHECK(Digest != requestDigest("POST", "/booka", "=1"));
  CHECK(Digest != requestDigest("POST/", "book", "a=1"));
  CHECK(Digest != requestDigest("POST", "/book", "a=2"));
  CHECK(Digest != requestDigest("POST", "/book", ""));
}
