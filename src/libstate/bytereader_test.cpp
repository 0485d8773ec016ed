#include "bytereader.h"

#include "bytewriter.h"

#include <cstdint>
#include <doctest/doctest.h>
#include <limits>

using namespace coltsfoot;

namespace {

constexpr uint64_t MaxUint64 = std::numeric_limits<uint64_t>::max();

ByteWriter sample() {
  ByteWriter Out;
  Out.varint(300);
  Out.text("route");
  Out.fixed64(MaxUint64 - 1);
  Out.address("10.0.0.1:80");
  Out.address("node-a:80");
  return Out;
}

bool readsSample(std::string_view Bytes) {
  ByteReader In(Bytes);
  bool Same = In.varint() == 300 && In.text() == "route" &&
              In.fixed64() == MaxUint64 - 1 && In.address() == "10.0.0.1:80" &&
              In.address() == "node-a:80";
  return Same && In.complete();
}

} // namespace

TEST_CASE("fields round-trip") { CHECK(readsSample(sample().bytes())); }

TEST_CASE("numbers round-trip at the limits of each encoded size") {
  for (unsigned Shift = 0; Shift < 64; ++Shift)
    for (uint64_t Value : {(uint64_t{1} << Shift) - 1, uint64_t{1} << Shift,
                           MaxUint64 - (uint64_t{1} << Shift)}) {
      ByteWriter Out;
      Out.varint(Value);
      ByteReader In(Out.bytes());
      CHECK(In.varint() == Value);
      CHECK(In.complete());
    }
}

TEST_CASE("truncated input and trailing bytes are rejected") {
  std::string Bytes = sample().bytes();
  for (size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK(!readsSample(std::string_view(Bytes).substr(0, Size)));
  CHECK(!readsSample(Bytes + '\0'));
}

TEST_CASE("encodings that the writer does not produce are rejected") {
  using namespace std::string_view_literals;
  for (std::string_view Bytes :
       {"\x80\x00"sv, "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02"sv,
        "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"sv}) {
    ByteReader In(Bytes);
    In.varint();
    CHECK(!In.complete());
  }
  for (std::string_view Bytes :
       {"\x02\x0a\x00\x00\x01\x00\x50"sv, "\x00\x0b"
                                          "10.0.0.1:80"sv}) {
    ByteReader In(Bytes);
    In.address();
    CHECK(!In.complete());
  }
}

TEST_CASE("a length beyond the end of the input does not allocate") {
  ByteWriter Out;
  Out.varint(MaxUint64);
  ByteReader In(Out.bytes());
  CHECK(In.text().empty());
  CHECK(!In.complete());
}
