#include "coltsfootpoint/log.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <stdexcept>

using namespace coltsfoot;

TEST_CASE("log fields are quoted only where needed") {
  CHECK(LogField("a", "b").text() == "a=b");
  CHECK(LogField("a", "b c").text() == "a=\"b c\"");
  CHECK(LogField("a", "x\"\n").text() == "a=\"x\\\"\\x0a\"");
  CHECK(LogField("n", 5).text() == "n=5");
  CHECK(LogField("f", 0.5).text() == "f=0.500");
  CHECK(LogField("t", true).text() == "t=true");
}

TEST_CASE("an unknown log level is rejected") {
  CHECK(parseLogLevel("warning") == LogLevel::Warning);
  CHECK_THROWS_AS(parseLogLevel("loud"), std::invalid_argument);
}

namespace {

std::string readFile(const std::filesystem::path &File) {
  std::ostringstream Text;
  Text << std::ifstream(File).rdbuf();
  return Text.str();
}

/// Returns the names of the events that the source code of a file logs.
std::set<std::string> loggedEvents(const std::string &Source) {
  static const std::regex Call(
      "(?:logEvent|logRequest|Ledger_\\.note|[^\\w.>]note)\\(([^;{]{0,160})");
  static const std::regex Name("\"([a-z]+(?:[_-][a-z]+)*)\"");
  std::set<std::string> Found;
  for (std::sregex_iterator It(Source.begin(), Source.end(), Call), End;
       It != End; ++It) {
    std::string Arguments = (*It)[1];
    for (std::sregex_iterator Each(Arguments.begin(), Arguments.end(), Name);
         Each != End; ++Each)
      Found.insert((*Each)[1]);
  }
  for (const char *Value : {"true", "false"})
    Found.erase(Value);
  return Found;
}

} // namespace

TEST_CASE("every logged event is listed in docs/OPERATIONS.md") {
  namespace fs = std::filesystem;
  const fs::path Root = COLTSFOOT_SOURCE_DIR;
  std::string Page = readFile(Root / "docs" / "OPERATIONS.md");
  size_t Count = 0;
  for (const char *Folder : {"src", "platform"})
    for (const auto &Entry : fs::recursive_directory_iterator(Root / Folder)) {
      std::string File = Entry.path().filename().string();
      if (!File.ends_with(".cpp") || File.ends_with("_test.cpp"))
        continue;
      for (const std::string &Event : loggedEvents(readFile(Entry.path()))) {
        CAPTURE(File);
        CAPTURE(Event);
        CHECK(Page.find("`" + Event + "`") != std::string::npos);
        ++Count;
      }
    }
  CHECK(Count > 30);
}
