#include "codec.h"

#include "coltsfoot_types.h"

#include <doctest/doctest.h>
#include <random>

using namespace coltsfoot;

namespace {

std::string sampleFrame() {
  wire::Offer Offer;
  Offer.attempt = 7;
  Offer.service_name = "chairs";
  Offer.body = "body";
  wire::Frame Frame;
  Frame.__set_offer(Offer);
  std::string Bytes;
  appendFrame(Bytes, Frame);
  return Bytes;
}

} // namespace

TEST_CASE("decoding an encoded frame restores its fields") {
  std::string Bytes = sampleFrame();
  wire::Frame Frame = decodeFrame(std::string_view(Bytes).substr(4));
  REQUIRE(bool(Frame.__isset.offer));
  CHECK(Frame.offer.attempt == 7);
  CHECK(Frame.offer.service_name == "chairs");
}

TEST_CASE("decodeFrame() rejects truncated frames and trailing bytes") {
  std::string Bytes = sampleFrame().substr(4);
  for (size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK_THROWS_AS(decodeFrame(std::string_view(Bytes).substr(0, Size)),
                    CodecError);
  CHECK_THROWS_AS(decodeFrame(Bytes + "x"), CodecError);
}

TEST_CASE("random and mutated bytes never crash the decoders") {
  std::mt19937_64 Random(20261204);
  std::string Valid = sampleFrame().substr(4);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Valid;
    if (Round % 2 == 0)
      Bytes.resize(Random() % 64);
    for (int Flips = 1 + int(Random() % 4); Flips > 0 && !Bytes.empty();
         --Flips)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    try {
      decodeFrame(Bytes);
    } catch (const CodecError &) {
    }
    try {
      decodeDatagram(Bytes);
    } catch (const CodecError &) {
    }
  }
}
