#include "coltsfootpoint/settings.h"

#include "coltsfootpoint/secret.h"
#include "coltsfootpoint/settingserror.h"
#include "settingstable.h"

#include <algorithm>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <random>

using namespace coltsfoot;

namespace {

const std::string MinimalFile = "[log_service]\naddress = \"127.0.0.1:9000\"\n";

std::vector<SettingsProblem> problemsOf(const std::string &Text) {
  try {
    parseSettings(Text, "n.toml");
  } catch (const SettingsError &Error) {
    return Error.problems();
  }
  return {};
}

/// Checks that a text has exactly one problem, with this line and key.
void checkProblem(const std::string &Text, int Line, const std::string &Key,
                  const std::string &Expected, const std::string &Found) {
  CAPTURE(Text);
  auto Problems = problemsOf(Text);
  REQUIRE(Problems.size() == 1);
  CAPTURE(Problems[0].text());
  CHECK(Problems[0].File_ == "n.toml");
  CHECK(Problems[0].Line_ == Line);
  CHECK(Problems[0].Key_ == Key);
  CHECK(Problems[0].Expected_.find(Expected) != std::string::npos);
  CHECK(Problems[0].Found_.find(Found) != std::string::npos);
}

/// A file in the test's working directory, removed by the destructor.
class TemporaryFile {
public:
  TemporaryFile(std::string Path, const std::string &Content)
      : Path_(std::move(Path)) {
    std::ofstream(Path_, std::ios::binary) << Content;
  }
  ~TemporaryFile() { std::remove(Path_.c_str()); }
  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

} // namespace

TEST_CASE("a minimal file results in the defaults") {
  Settings Expected = defaultSettings();
  Expected.LogService_.Address_ = "127.0.0.1:9000";
  CHECK(parseSettings(MinimalFile, "n.toml") == Expected);
  CHECK(Expected.Node_.Address_ == "127.0.0.1");
  CHECK(Expected.Node_.Workers_ == 1);
  CHECK(Expected.Membership_.Isolation_ == Millis(3000));
  CHECK(Expected.Logging_.Level_ == LogLevel::Info);
}

TEST_CASE("values of every kind are parsed") {
  Settings Read = parseSettings(MinimalFile + R"(
[node]
address = "10.0.0.7"
http_port = 8080
advertise = "10.0.0.7:7000"
zone = "kochi-1"
policy = "static"
[membership]
peers = ["10.0.0.8:7000", "[fd00::1]:7000"]
[timeouts]
heartbeat_ms = 12.5
[security]
ticket_key_file = "keys/ticket"
[logging]
level = "error"
)",
                                "n.toml");
  CHECK(Read.Node_.Address_ == "10.0.0.7");
  CHECK(Read.Node_.HttpPort_ == 8080);
  CHECK(Read.Node_.Advertise_ == "10.0.0.7:7000");
  CHECK(Read.Node_.Zone_ == "kochi-1");
  CHECK(Read.Node_.Policy_ == Policy::Static);
  CHECK(policyName(Read.Node_.Policy_) == "static");
  CHECK(Read.Membership_.Peers_.size() == 2);
  CHECK(Read.Timeouts_.Heartbeat_ == Millis(12.5));
  CHECK(Read.Security_.TicketKeyFile_ == "keys/ticket");
  CHECK(Read.Logging_.Level_ == LogLevel::Error);
}

TEST_CASE("each problem names the file, line, key, expected and found value") {
  checkProblem(MinimalFile + "[node]\nworkers = 0\n", 4, "node.workers",
               "a whole number from 1 to 64", "0");
  checkProblem(MinimalFile + "[node]\nworkers = 2.5\n", 4, "node.workers",
               "whole", "2.5");
  checkProblem(MinimalFile + "[node]\nworkers = \"2\"\n", 4, "node.workers",
               "a whole number", "2");
  checkProblem(MinimalFile + "[node]\nworkers = [2]\n", 4, "node.workers",
               "a whole number", "a list");
  checkProblem(MinimalFile + "[timeouts]\nattempt_ms = nan\n", 4,
               "timeouts.attempt_ms", "a number from", "nan");
  checkProblem(MinimalFile + "[timeouts]\nattempt_ms = 1e300\n", 4,
               "timeouts.attempt_ms", "a number from", "e+300");
  checkProblem(MinimalFile + "[node]\nworker = 2\n", 4, "node.worker",
               "one of the keys address,", "unknown");
  checkProblem(MinimalFile + "[nodes]\nworkers = 2\n", 3, "nodes",
               "one of the tables node,", "unknown");
  checkProblem("node = 3\n" + MinimalFile, 1, "node", "a table", "3");
  checkProblem(MinimalFile + "[node]\naddress = \"localhost\"\n", 4,
               "node.address", "an IP address", "localhost");
  checkProblem(MinimalFile + "[node]\nadvertise = \"10.0.0.1\"\n", 4,
               "node.advertise", "and a port", "10.0.0.1");
  checkProblem(MinimalFile + "[node]\nzone = \"a b\"\n", 4, "node.zone",
               "a name", "a b");
  checkProblem(MinimalFile + "[node]\npolicy = \"best\"\n", 4, "node.policy",
               "one of \"adaptive\", \"static\", \"none\"", "best");
  checkProblem(MinimalFile + "[logging]\nlevel = 3\n", 4, "logging.level",
               "one of \"trace\"", "3");
  checkProblem(MinimalFile + "[membership]\npeers = [\"10.0.0.1:1\", 5]\n", 4,
               "membership.peers", "a list of", "a list");
  checkProblem(MinimalFile + "[membership]\npeers = \"10.0.0.1:1\"\n", 4,
               "membership.peers", "a list of", "10.0.0.1:1");
  checkProblem(MinimalFile + "[security]\nticket_key_file = \"\"\n", 4,
               "security.ticket_key_file", "a file name", "");
  checkProblem(MinimalFile + "[node\n", 3, "", "valid TOML", "");
  // toml++ rejects these only by an assertion.
  checkProblem("[=]\n", 0, "", "valid TOML", "");
  checkProblem("[[=]]\n", 0, "", "valid TOML", "");
  checkProblem(MinimalFile + "address = \"127.0.0.1:1\"\n", 3, "", "valid TOML",
               "");
}

TEST_CASE("non-ASCII characters are accepted in comment lines only") {
  CHECK(problemsOf("  # Zone in K\xc3\xb6"
                   "chi\n" +
                   MinimalFile)
            .empty());
  checkProblem(MinimalFile + "[node]\nzone = \xc3\xb6\n", 4, "", "ASCII", "");
  checkProblem("\xc3\xb6 = 1\n" + MinimalFile, 1, "", "ASCII", "");
}

TEST_CASE("settings that contradict each other are rejected") {
  checkProblem("[node]\nworkers = 1\n", 0, "log_service.address",
               "membership.peers", "neither");
  checkProblem(MinimalFile +
                   "[timeouts]\nsilent_ms = 300\nheartbeat_ms = 200\n",
               4, "timeouts.silent_ms",
               "at least twice timeouts.heartbeat_ms, which is 400", "300");
  checkProblem(MinimalFile + "[timeouts]\nheartbeat_ms = 600\n", 0,
               "timeouts.silent_ms", "1200", "800");
  checkProblem(MinimalFile + "[node]\nhttp_port = 80\npeer_port = 80\n", 5,
               "node.peer_port", "a port other than", "80");
  checkProblem(MinimalFile + "[membership]\nprobe_timeout_ms = 1500\n", 0,
               "membership.probe_interval_ms", "1500", "1000");
  checkProblem(MinimalFile + "[membership]\nsuspicion_ms = 500\n", 4,
               "membership.suspicion_ms", "1000", "500");
  checkProblem(MinimalFile + "[membership]\nisolation_ms = 500\n", 4,
               "membership.isolation_ms", "1000", "500");
  checkProblem(MinimalFile + "[timeouts]\nattempt_ms = 500\n", 4,
               "timeouts.attempt_ms", "timeouts.connect_ms", "500");
  checkProblem(MinimalFile + "[limits]\nreceive_bytes = 1064959\n", 4,
               "limits.receive_bytes", "which is 1064960", "1064959");
  checkProblem(MinimalFile + "[limits]\nbody_bytes = 67108864\n", 0,
               "limits.receive_bytes", "which is 67125248", "33554432");
  checkProblem(MinimalFile + "[security]\nprevious_ticket_key_file = \"k\"\n",
               4, "security.previous_ticket_key_file", "ticket_key_file", "no");
}

TEST_CASE("several problems are reported together, in order of their lines") {
  auto Problems = problemsOf("[node]\nworkers = 0\nx = 1\n[logging]\n"
                             "level = \"loud\"\n[y]\n");
  REQUIRE(Problems.size() == 4);
  CHECK(Problems[0].Line_ == 2);
  CHECK(Problems[1].Line_ == 3);
  CHECK(Problems[2].Line_ == 5);
  CHECK(Problems[3].Line_ == 6);
  CHECK(Problems[0].text() == "n.toml:2: node.workers: expected a whole number "
                              "from 1 to 64, found 0");
  std::string All = SettingsError(Problems).what();
  CHECK(std::count(All.begin(), All.end(), '\n') == 3);
}

TEST_CASE("an unreadable file is reported with its name") {
  CHECK_THROWS_WITH_AS(loadSettings("/nowhere/n.toml"),
                       doctest::Contains("/nowhere/n.toml"), SettingsError);
  CHECK_THROWS_AS(loadSettings("/"), SettingsError);
  TemporaryFile File("settings_test.toml", MinimalFile);
  CHECK(loadSettings(File.path()).LogService_.Address_ == "127.0.0.1:9000");
}

TEST_CASE("the help and the Markdown table list every key and default") {
  std::string Help = settingsHelp();
  std::string Page = settingsMarkdown();
  for (const SettingEntry &Entry : settingsTable()) {
    CHECK(Help.find(std::string(Entry.Key_) + " = " + defaultText(Entry)) !=
          std::string::npos);
    CHECK(Page.find("`" + Entry.name() + "`") != std::string::npos);
  }
  CHECK(Help.find("a whole number from 1 to 64") != std::string::npos);
}

TEST_CASE("docs/OPERATIONS.md contains the table of settings of the code") {
  std::ifstream File(COLTSFOOT_SOURCE_DIR "/docs/OPERATIONS.md");
  std::string Page{std::istreambuf_iterator<char>(File), {}};
  CHECK(Page.find("<!-- settings: begin -->\n" + settingsMarkdown() +
                  "<!-- settings: end -->") != std::string::npos);
}

TEST_CASE("every default is within its range") {
  for (const SettingEntry &Entry : settingsTable())
    if (const auto *Kind = std::get_if<NumberSetting>(&Entry.Kind_)) {
      CAPTURE(Entry.name());
      CHECK(Kind->Default_ >= Kind->Min_);
      CHECK(Kind->Default_ <= Kind->Max_);
    }
}

TEST_CASE("secrets are read, compared and never shown in errors") {
  TemporaryFile Good("secret_test.key", "0123456789abcdef\n");
  Secret Key = loadSecret(Good.path());
  CHECK(Key.bytes() == "0123456789abcdef");
  CHECK(Key.equals("0123456789abcdef"));
  CHECK(!Key.equals("0123456789abcdeF"));
  CHECK(!Key.equals("0123456789abcde"));
  CHECK(!Secret().equals(""));
  TemporaryFile Short("secret_short.key", "hidden-word\n");
  try {
    loadSecret(Short.path());
    FAIL("a secret that is too short was accepted");
  } catch (const SettingsError &Error) {
    std::string Text = Error.what();
    CHECK(Text.find("secret_short.key") != std::string::npos);
    CHECK(Text.find("at least 16 bytes, found 11 bytes") != std::string::npos);
    CHECK(Text.find("hidden") == std::string::npos);
  }
  CHECK_THROWS_AS(loadSecret("/nowhere/key"), SettingsError);
}

TEST_CASE("mutated files are either parsed or rejected with SettingsError") {
  std::string CompleteFile = MinimalFile;
  std::string_view Current = "log_service";
  for (const SettingEntry &Entry : settingsTable()) {
    if (defaultText(Entry) == "none")
      continue;
    if (Entry.Table_ != Current)
      CompleteFile += "[" + std::string(Entry.Table_) + "]\n";
    Current = Entry.Table_;
    CompleteFile += std::string(Entry.Key_) + " = " + defaultText(Entry) + "\n";
  }
  // TOML allows each table only once, and MinimalFile contains [log_service]
  // already: remove the second one.
  size_t SecondTable = CompleteFile.find("[log_service]", 1);
  if (SecondTable != std::string::npos)
    CompleteFile.erase(SecondTable,
                       CompleteFile.find("[membership]") - SecondTable);
  CHECK(problemsOf(CompleteFile).empty());
  std::mt19937 Random(20240611);
  int Refused = 0;
  int Read = 0;
  for (int Round = 0; Round < 12000; ++Round) {
    std::string Text = CompleteFile;
    int MaxChanges = Round % 2 == 0 ? 2 : 8;
    int Changes = 1 + static_cast<int>(Random() % MaxChanges);
    for (int I = 0; I < Changes; ++I) {
      size_t Position = Random() % Text.size();
      switch (Random() % 4) {
      case 0:
        Text[Position] = static_cast<char>(Random() % 256);
        break;
      case 1:
        Text.erase(Position, 1 + Random() % 20);
        break;
      case 2:
        Text.insert(Position, CompleteFile, Random() % CompleteFile.size(),
                    Random() % 40);
        break;
      default:
        Text.insert(Position, 1, "[]{}\"'=.,#\n0-e"[Random() % 14]);
      }
      if (Text.empty())
        Text = CompleteFile;
    }
    try {
      parseSettings(Text, "n.toml");
      ++Read;
    } catch (const SettingsError &Error) {
      ++Refused;
      CHECK(!Error.problems().empty());
    }
  }
  CHECK(Refused > 1000);
  CHECK(Read > 100);
}
