#include "logmessages.h"

#include "base64.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("decodeBase64() accepts only the output of encodeBase64()") {
  for (size_t Size = 0; Size < 10; ++Size) {
    std::string Bytes(Size, '\xfe');
    CHECK(decodeBase64(encodeBase64(Bytes)) == Bytes);
  }
  for (const char *Bad : {"a", "abc", "ab==cd==", "ab=c", "a===", "====",
                          " aaa", "aaa\n", "YR==", "Y!==", "YQ==\n   "}) {
    CAPTURE(Bad);
    CHECK_FALSE(decodeBase64(Bad));
  }
}

TEST_CASE("only status 4xx or 503 means that a record was not written") {
  CHECK(parseAppendAnswer(200, "{\"offset\":7}") == AppendResult(Appended{7}));
  CHECK(std::holds_alternative<AppendRefused>(parseAppendAnswer(503, "")));
  CHECK(std::holds_alternative<AppendRefused>(parseAppendAnswer(413, "")));
  for (int Status : {100, 204, 302, 500, 502, 504})
    CHECK(std::holds_alternative<AppendUnknown>(
        parseAppendAnswer(Status, "{\"offset\":7}")));
  for (const char *Bad : {"", "7", "{}", "{\"offset\":-1}",
                          "{\"offset\":\"7\"}", "{\"offset\":7.5}"})
    CHECK(std::holds_alternative<AppendUnknown>(parseAppendAnswer(200, Bad)));
}

TEST_CASE("a batch of consecutive records from the requested offset is valid") {
  ReadResult Result = parseReadAnswer(
      200,
      "{\"first_offset\":2,\"next_offset\":9,\"records\":["
      "{\"offset\":5,\"data\":\"YQ==\"},{\"offset\":6,\"data\":\"\"}]}",
      5);
  CHECK(Result == ReadResult(LogBatch{2, 9, {{5, "a"}, {6, ""}}}));
  Result = parseReadAnswer(
      200, "{\"first_offset\":0,\"next_offset\":5,\"records\":[]}", 5);
  CHECK(Result == ReadResult(LogBatch{0, 5, {}}));
}

TEST_CASE("status 410 or a later first record means a trimmed stream") {
  CHECK(parseReadAnswer(410, "{\"first_offset\":8}", 5) ==
        ReadResult(LogTrimmed{8}));
  CHECK(parseReadAnswer(200,
                        "{\"first_offset\":8,\"next_offset\":9,\"records\":["
                        "{\"offset\":8,\"data\":\"\"}]}",
                        5) == ReadResult(LogTrimmed{8}));
}

TEST_CASE("an invalid response to a read is LogDown") {
  struct Bad {
    int Status_;
    const char *Body_;
  };
  const Bad Cases[] = {
      {503, ""},
      {500, "{\"first_offset\":0,\"next_offset\":5,\"records\":[]}"},
      {200, ""},
      {200, "[]"},
      {200, "{}"},
      {200, "{\"first_offset\":0,\"next_offset\":5}"},
      {200, "{\"first_offset\":0,\"next_offset\":4,\"records\":[]}"},
      {200, "{\"first_offset\":-1,\"next_offset\":5,\"records\":[]}"},
      {200, "{\"first_offset\":0,\"next_offset\":5,\"records\":[3]}"},
      {200, "{\"first_offset\":0,\"next_offset\":6,\"records\":["
            "{\"offset\":5}]}"},
      {200, "{\"first_offset\":0,\"next_offset\":6,\"records\":["
            "{\"offset\":5,\"data\":\"?\"}]}"},
      {200, "{\"first_offset\":0,\"next_offset\":7,\"records\":["
            "{\"offset\":6,\"data\":\"\"}]}"},
      {200, "{\"first_offset\":0,\"next_offset\":9,\"records\":["
            "{\"offset\":5,\"data\":\"\"},{\"offset\":7,\"data\":\"\"}]}"},
      {200, "{\"first_offset\":0,\"next_offset\":5,\"records\":["
            "{\"offset\":5,\"data\":\"\"}]}"},
      {410, ""},
      {410, "{\"first_offset\":5}"},
  };
  for (const Bad &Each : Cases) {
    CAPTURE(Each.Body_);
    CHECK(std::holds_alternative<LogDown>(
        parseReadAnswer(Each.Status_, Each.Body_, 5)));
  }
}
