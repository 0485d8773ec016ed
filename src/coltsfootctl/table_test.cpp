#include "table.h"

#include "commanderror.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

TEST_CASE("columns are as wide as their widest cell") {
  Table Rows({"NAME", "N"});
  Rows.add({"a", "1"});
  Rows.add({"longer\x1b[m"});
  CHECK(Rows.text() == "NAME       N\n"
                       "a          1\n"
                       "longer?[m\n");
}

TEST_CASE("a JSON list is formatted as a table") {
  CHECK(listTable(R"({"rows":[{"b":1.5,"a":"x"},{"a":null,"b":{"c":[1]}}]})",
                  "rows", {"a", "b"}) == "A  B\n"
                                         "x  1.5\n"
                                         "-  {\"c\":[1]}\n");
  CHECK(listTable(R"({"rows":[]})", "rows", {"a"}) == "A\n");
  for (const char *Text : {"", "[]", "{}", R"({"rows":1})", R"({"rows":[1]})"})
    CHECK_THROWS_AS_MESSAGE(listTable(Text, "rows", {"a"}), CommandError, Text);
}

TEST_CASE("a JSON object is formatted as a table of keys and values") {
  CHECK(objectTable(R"({"state":"serving","slots":8})") == "KEY    VALUE\n"
                                                           "state  serving\n"
                                                           "slots  8\n");
}
