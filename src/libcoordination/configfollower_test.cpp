/// Tests which requests a ConfigFollower sends to its source, and how often.

#include "configfollower.h"

#include "configservice.h"
#include "logstore.h"

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

/// Fails the test when the log is used, because a ConfigService with an
/// external source must not use it.
class UnusedLog : public LogStore {
public:
  void append(std::string_view, std::string, AppendHandler) override {
    FAIL("unexpected append to the log");
  }
  void read(std::string_view, int64_t, int, Millis, ReadHandler) override {
    FAIL("unexpected read of the log");
  }
};

/// Answers each request without waiting, as if its wait had expired with no new
/// configuration, and stops the context on request number MaxRequests.
class IdleSource : public ConfigSource {
public:
  IdleSource(boost::asio::io_context &Context, size_t MaxRequests)
      : Context_(Context), MaxRequests_(MaxRequests) {}
  void fetchNewest(Handler Done) override { answer(Millis(), std::move(Done)); }
  void fetchAfter(int64_t, Millis Wait, Handler Done) override {
    answer(Wait, std::move(Done));
  }
  void abandon() override {}
  std::vector<Millis> Waits_;

private:
  void answer(Millis Wait, Handler Done) {
    Waits_.push_back(Wait);
    if (Waits_.size() >= MaxRequests_)
      return Context_.stop();
    boost::asio::post(Context_, [Done = std::move(Done)] {
      Done({NoNewConfig{}, 7});
    });
  }

  boost::asio::io_context &Context_;
  const size_t MaxRequests_;
};

/// A follower of one source, which runs until the source stops the context or a
/// time has passed.
template <typename Source> struct Fixture {
  boost::asio::io_context Context_;
  SystemClock Clock_;
  UnusedLog Log_;
  ConfigService Config_{Context_, Log_, Clock_, externalSource()};
  Source Source_;
  ConfigFollower Follower_;

  template <typename... Args>
  explicit Fixture(ConfigFollower::Options Options, Args &&...SourceArguments)
      : Source_(Context_, std::forward<Args>(SourceArguments)...),
        Follower_(Context_, Source_, Config_, Clock_, Options) {
    Config_.start();
  }

  static ConfigService::Options externalSource() {
    ConfigService::Options Settings;
    Settings.ExternalSource_ = true;
    return Settings;
  }

  void run(std::chrono::seconds Time) {
    Follower_.start();
    Context_.run_for(Time);
  }
};

std::vector<Millis> requestWaits(bool Reader) {
  constexpr size_t Requests = 4;
  Fixture<IdleSource> Test({{Millis(1000), Millis(8000)}}, Requests);
  Test.Config_.setLogReader(Reader);
  Test.run(std::chrono::seconds(10));
  return Test.Source_.Waits_;
}

/// Answers the requests with prepared responses in their order, and stops the
/// context when none is left.
class ScriptedSource : public ConfigSource {
public:
  ScriptedSource(boost::asio::io_context &Context,
                 std::vector<ConfigPollResponse> Script)
      : Context_(Context), Script_(std::move(Script)) {}
  void fetchNewest(Handler Done) override { answer("newest", Done); }
  void fetchAfter(int64_t Position, Millis, Handler Done) override {
    answer(std::to_string(Position), Done);
  }
  void abandon() override {}
  std::vector<std::string> Requests_;

private:
  void answer(std::string Request, const Handler &Done) {
    if (Requests_.size() >= Script_.size())
      return Context_.stop();
    const ConfigPollResponse &Response = Script_[Requests_.size()];
    Requests_.push_back(std::move(Request));
    boost::asio::post(Context_, [Done, Response] { Done(Response); });
  }

  boost::asio::io_context &Context_;
  const std::vector<ConfigPollResponse> Script_;
};

VersionedConfig serviceConfig(int64_t Version, const std::string &Body) {
  return {Version, {{ResourceKind::Service, "a", Body}}};
}

constexpr const char *ValidService = R"({"routes":[]})";
constexpr const char *InvalidService = R"({"routes":7})";

/// What a node requested and has in force after the answers of a source.
struct Followed {
  std::vector<std::string> Requests_;
  int64_t Version_ = 0;
};

Followed follow(std::vector<ConfigPollResponse> Script) {
  ConfigFollower::Options Options;
  SourcePolling::Options &Polling = Options.Polling_;
  Polling.RetryMin_ = Polling.RetryMax_ = Millis(1);
  Fixture<ScriptedSource> Test(Options, std::move(Script));
  Test.run(std::chrono::seconds(10));
  return {Test.Source_.Requests_, Test.Config_.current()->nextOffset()};
}

} // namespace

TEST_CASE("a position that stays unreadable is given up for the newest "
          "configuration") {
  ConfigPollResponse Damaged{ConfigAnswerDamaged{"cut"}};
  auto Followed = follow({{serviceConfig(3, ValidService), 7},
                          Damaged,
                          Damaged,
                          Damaged,
                          {serviceConfig(5, ValidService), 9},
                          Damaged,
                          Damaged,
                          {NoNewConfig{}, 11},
                          {NoNewConfig{}, 12},
                          Damaged,
                          {NoNewConfig{}, 12}});
  CHECK(Followed.Requests_ == std::vector<std::string>{"newest", "7", "7", "7",
                                                       "newest", "9", "newest",
                                                       "9", "11", "12", "12"});
  CHECK(Followed.Version_ == 5);
}

TEST_CASE("newest records that stay damaged don't end the following") {
  ConfigPollResponse Damaged{ConfigAnswerDamaged{"cut"}};
  auto Followed = follow({{serviceConfig(3, ValidService), 7},
                          Damaged,
                          Damaged,
                          Damaged,
                          Damaged,
                          {serviceConfig(5, ValidService), 8},
                          {NoNewConfig{}, 8}});
  CHECK(Followed.Requests_ ==
        std::vector<std::string>{"newest", "7", "7", "7", "newest", "7", "8"});
  CHECK(Followed.Version_ == 5);
}

TEST_CASE("an unavailable source does not cost the position") {
  ConfigPollResponse Down{ConfigSourceDown{"503"}};
  auto Followed = follow({{serviceConfig(3, ValidService), 7},
                          Down,
                          Down,
                          Down,
                          Down,
                          {NoNewConfig{}, 7}});
  CHECK(Followed.Requests_ ==
        std::vector<std::string>{"newest", "7", "7", "7", "7", "7"});
}

TEST_CASE("an invalid configuration does not hide a valid older one of the "
          "same response") {
  ConfigPollResponse Both{serviceConfig(9, InvalidService), 7};
  Both.Older_ = {serviceConfig(8, InvalidService),
                 serviceConfig(5, ValidService),
                 serviceConfig(4, ValidService)};
  CHECK(follow({Both, {NoNewConfig{}, 7}}).Version_ == 5);
}

namespace {

ConfigPollResponse ofEra(int64_t Era, ConfigPollResult Result,
                         int64_t Position) {
  ConfigPollResponse Response{std::move(Result), Position};
  Response.Era_ = Era;
  return Response;
}

} // namespace

// Guards against a version that was written again below the old position, and
// is never read.
TEST_CASE("a source that came back from an older copy is read anew") {
  auto Followed = follow({ofEra(1, serviceConfig(3, ValidService), 7),
                          ofEra(2, NoNewConfig{}, 9),
                          ofEra(2, serviceConfig(5, ValidService), 4),
                          ofEra(2, NoNewConfig{}, 4)});
  CHECK(Followed.Requests_ ==
        std::vector<std::string>{"newest", "7", "newest", "4"});
  CHECK(Followed.Version_ == 5);
}

TEST_CASE("a version in force is kept although the source has lost it") {
  auto Followed = follow({ofEra(1, serviceConfig(8, ValidService), 7),
                          ofEra(2, ConfigHistoryLost{}, 0),
                          ofEra(2, serviceConfig(3, ValidService), 4),
                          ofEra(2, NoNewConfig{}, 4)});
  CHECK(Followed.Requests_ ==
        std::vector<std::string>{"newest", "7", "newest", "4"});
  CHECK(Followed.Version_ == 8);
}

TEST_CASE("a refusal tells of the new era too, and a late answer of an old era "
          "moves nothing") {
  auto Followed = follow(
      {ofEra(1, serviceConfig(3, ValidService), 7),
       ofEra(2, ConfigSourceDown{"503"}, 0),
       ofEra(1, serviceConfig(4, ValidService), 9),
       ofEra(2, serviceConfig(5, ValidService), 4), ofEra(3, NoNewConfig{}, 5),
       ofEra(3, NoNewConfig{}, 2), ofEra(3, NoNewConfig{}, 2)});
  CHECK(Followed.Requests_ == std::vector<std::string>{"newest", "7", "newest",
                                                       "newest", "4", "newest",
                                                       "2"});
  CHECK(Followed.Version_ == 5);
}

TEST_CASE("a log reader polls with short waits, other nodes with long ones") {
  CHECK(requestWaits(true) == std::vector<Millis>{Millis(), Millis(1000),
                                                  Millis(1000), Millis(1000)});
  CHECK(requestWaits(false) == std::vector<Millis>{Millis(), Millis(8000),
                                                   Millis(8000), Millis(8000)});
}

namespace {

/// Answers all requests at once: those for the newest configuration with one,
/// the others as it is told. Counts the requests.
class HastySource : public ConfigSource {
public:
  HastySource(boost::asio::io_context &Context, ConfigPollResponse Later)
      : Context_(Context), Later_(std::move(Later)) {}
  void fetchNewest(Handler Done) override {
    answer({serviceConfig(3, ValidService), 7}, std::move(Done));
  }
  void fetchAfter(int64_t, Millis, Handler Done) override {
    answer(Later_, std::move(Done));
  }
  void abandon() override {}
  size_t Requests_ = 0;

private:
  void answer(ConfigPollResponse Response, Handler Done) {
    ++Requests_;
    boost::asio::post(Context_,
                      [Done = std::move(Done), Response = std::move(Response)] {
                        Done(Response);
                      });
  }

  boost::asio::io_context &Context_;
  const ConfigPollResponse Later_;
};

/// Returns how many requests a follower sends to a hasty source in a second.
size_t requestsInSecond(const ConfigPollResponse &Later) {
  Fixture<HastySource> Test({}, Later);
  Test.run(std::chrono::seconds(1));
  return Test.Source_.Requests_;
}

/// Checks that a source is asked again, and no more often than the retry delays
/// allow in a second.
void checkPace(const ConfigPollResponse &Later) {
  constexpr size_t MinRequests = 3;
  constexpr size_t MaxRequests = 30;
  size_t Requests = requestsInSecond(Later);
  CHECK(Requests >= MinRequests);
  CHECK(Requests < MaxRequests);
}

} // namespace

TEST_CASE("a source that answers before its wait has passed is asked again "
          "with a pause") {
  checkPace({NoNewConfig{}, 7});
  checkPace({serviceConfig(3, ValidService), 7});
}

TEST_CASE("a source that loses its history again and again is asked again with "
          "a pause") {
  checkPace({ConfigHistoryLost{}, 0});
}
