#include "freshnessservice.h"

#include "coltsfoot_types.h"
#include "configstate.h"
#include "memberview.h"
#include "peerpool.h"
#include "ticketissuer.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr std::chrono::milliseconds RunTime(900);

/// A node without peers, with version 7 of the configuration in force.
struct Fixture {
  explicit Fixture(Millis RevokeWithin)
      : Peers_(Context_, FrameConnection::Options(),
               boost::asio::ip::address_v4::loopback(), wire::Hello()),
        Freshness_(Context_, nodeContext(), Peers_,
                   {RevokeWithin, [this] { ++SourceAsked_; }}) {}

  NodeContext nodeContext() const {
    NodeContext ThisNode;
    ThisNode.Clock_ = &Clock_;
    ThisNode.Node_ = "127.0.0.1:9";
    auto Config = ConfigState::fromResources(7, {});
    ThisNode.Config_ = [Config] { return Config; };
    auto Members = std::make_shared<const MemberView>();
    ThisNode.Members_ = [Members] { return Members; };
    return ThisNode;
  }

  void run() {
    Freshness_.start();
    Context_.run_for(RunTime);
  }

  boost::asio::io_context Context_;
  ManualClock Clock_;
  int SourceAsked_ = 0;
  PeerPool Peers_;
  FreshnessService Freshness_;
};

} // namespace

// Guards against calls to the store that a deployment without a bound pays for.
TEST_CASE("without a bound nothing is asked and all keys are verified") {
  Fixture Test{Millis()};
  Test.run();
  CHECK(Test.SourceAsked_ == 0);
  CHECK(Test.Freshness_.keysVerified());
}

TEST_CASE("with a bound the source is asked while nothing is known") {
  Fixture Test{Millis(5000)};
  CHECK_FALSE(Test.Freshness_.keysVerified());
  Test.run();
  CHECK(Test.SourceAsked_ == 1);
}

TEST_CASE(
    "keys are verified for nine tenths of the bound, suspension included") {
  Fixture Test{Millis(5000)};
  Test.Freshness_.onSource(Test.Clock_.sinceBoot(), 7);
  Test.Clock_.advance(Millis(2000));
  CHECK(Test.Freshness_.keysVerified());
  Test.Clock_.suspend(Millis(2499));
  CHECK(Test.Freshness_.keysVerified());
  Test.Clock_.suspend(Millis(2));
  CHECK_FALSE(Test.Freshness_.keysVerified());
  wire::FreshnessFetch Question;
  Question.sequence = 4;
  wire::FreshnessBatch Answer = Test.Freshness_.answer(Question);
  CHECK(Answer.sequence == 4);
  CHECK(Answer.version == 7);
  CHECK(Answer.age_ms >= 4501);
}
