#include "ticketissuer.h"

#include "configstate.h"
#include "memberview.h"
#include "ticket.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

Member entryMember() {
  Member Self;
  Self.Node_ = "10.0.0.1:1";
  Self.Incarnation_ = 1;
  return Self;
}

/// An issuer whose view of the membership the test sets.
struct Fixture {
  ManualClock Clock_;
  MemberTable Table_{entryMember()};
  std::shared_ptr<const MemberView> View_ = std::make_shared<MemberView>();
  Balancer Balancer_;
  TicketIssuer Issuer_{nodeContext(), SealingKeys("key"), Balancer_};

  NodeContext nodeContext() {
    NodeContext ThisNode;
    ThisNode.Clock_ = &Clock_;
    ThisNode.Node_ = "10.0.0.1:1";
    ThisNode.Config_ = [Config = std::make_shared<const ConfigState>()] {
      return Config;
    };
    ThisNode.Members_ = [this] { return View_; };
    ThisNode.Doubted_ = [this] { return Doubted_; };
    return ThisNode;
  }

  void addGate(const std::string &Node, MemberState State) {
    Member Gate;
    Gate.Node_ = Node;
    Gate.Incarnation_ = 1;
    Gate.Generation_ = ++Generation_;
    Gate.State_ = State;
    Gate.Service_ = "ledger";
    Gate.Slots_ = 13;
    Table_.apply(Gate, Clock_.now());
    View_ = std::make_shared<MemberView>(Table_);
  }

  std::shared_ptr<const std::vector<NodeRef>> Doubted_ =
      std::make_shared<const std::vector<NodeRef>>();
  int64_t Generation_ = 0;
};

} // namespace

TEST_CASE("the gates of a service follow each view of the membership") {
  Fixture Fixture;
  CHECK(Fixture.Issuer_.gatesOf("ledger")->empty());
  Fixture.addGate("10.0.0.2:1", MemberState::Alive);
  REQUIRE(Fixture.Issuer_.gatesOf("ledger")->size() == 1);
  CHECK_FALSE(Fixture.Issuer_.gatesOf("ledger")->front().Leaving_);
  Fixture.addGate("10.0.0.2:1", MemberState::Leaving);
  CHECK(Fixture.Issuer_.gatesOf("ledger")->front().Leaving_);
  CHECK(Fixture.Issuer_.gatesOf("other")->empty());
}

TEST_CASE("one view of the membership gives one list of gates") {
  Fixture Fixture;
  Fixture.addGate("10.0.0.2:1", MemberState::Alive);
  TicketIssuer::GateList First = Fixture.Issuer_.gatesOf("ledger");
  CHECK(Fixture.Issuer_.gatesOf("ledger") == First);
}

TEST_CASE("a gate in doubt is a candidate only if there is no other") {
  Fixture Fixture;
  Fixture.addGate("10.0.0.2:1", MemberState::Alive);
  Fixture.addGate("10.0.0.3:1", MemberState::Alive);
  auto Doubt = [&](std::vector<NodeRef> Gates) {
    Fixture.Doubted_ =
        std::make_shared<const std::vector<NodeRef>>(std::move(Gates));
    auto Text = Fixture.Issuer_.issue("ledger", "book", "client");
    REQUIRE(Text);
    return Fixture.Issuer_.open(*Text)->Candidates_;
  };
  NodeRef First{"10.0.0.2:1", 1};
  NodeRef Second{"10.0.0.3:1", 1};
  CHECK(Doubt({}).size() == 2);
  CHECK(Doubt({First}) == std::vector<NodeRef>{Second});
  CHECK(Doubt({First, Second}).size() == 2);
}

TEST_CASE("a gate that is seen later than the start is new until it is old") {
  Fixture Fixture;
  Fixture.addGate("10.0.0.2:1", MemberState::Alive);
  CHECK(Fixture.Issuer_.gatesOf("ledger")->front().FirstSeen_ < Millis());
  Fixture.Clock_.advance(Millis(10'000));
  Millis Added = Fixture.Clock_.now();
  Fixture.addGate("10.0.0.3:1", MemberState::Alive);
  CHECK(Fixture.Issuer_.gatesOf("ledger")->back().FirstSeen_ == Added);
  Fixture.Clock_.advance(Millis(10'000));
  Fixture.addGate("10.0.0.4:1", MemberState::Alive);
  CHECK((*Fixture.Issuer_.gatesOf("ledger"))[1].FirstSeen_ == Added);
}
