#include "configcatchup.h"

#include <doctest/doctest.h>

using namespace coltsfoot;
using Peers = std::vector<std::string>;

TEST_CASE("peers are asked once the source has had time to deliver") {
  ConfigCatchUp Node;
  Node.onNews("a", 5, Millis(1000));
  CHECK(Node.takePeers(Millis(1099)).empty());
  CHECK(Node.nextTime() == Millis(1100));
  CHECK(Node.takePeers(Millis(1100)) == Peers{"a"});
  Node.onApplied(5);
  CHECK_FALSE(Node.behind());
  Node.onNews("b", 5, Millis(1200));
  CHECK_FALSE(Node.behind());
}

TEST_CASE("a node whose source is lost asks two peers at once, then others") {
  ConfigCatchUp Node;
  Node.setSourceLost(true);
  for (const char *Peer : {"a", "b", "c", "d"})
    Node.onNews(Peer, 7, Millis(1000));
  CHECK(Node.takePeers(Millis(1000)) == Peers{"d", "c"});
  CHECK(Node.takePeers(Millis(1149)).empty());
  CHECK(Node.takePeers(Millis(1150)) == Peers{"b"});
  CHECK(Node.takePeers(Millis(1300)) == Peers{"a"});
  CHECK(Node.lacksPeers());
  Node.onAnswered("c", true);
  CHECK(Node.takePeers(Millis(1450)) == Peers{"c"});
}

TEST_CASE("a peer that gave nothing is not asked again without news of it") {
  ConfigCatchUp Node;
  Node.setSourceLost(true);
  Node.onNews("a", 7, Millis(1000));
  CHECK(Node.takePeers(Millis(1000)) == Peers{"a"});
  Node.onAnswered("a", false);
  CHECK(Node.lacksPeers());
  CHECK_FALSE(Node.nextTime());
  Node.onNews("a", 7, Millis(2000));
  CHECK(Node.takePeers(Millis(2000)) == Peers{"a"});
}

TEST_CASE("a node that got an older version than it knows of asks on at once") {
  ConfigCatchUp Node;
  Node.onNews("a", 5, Millis(1000));
  Node.onNews("b", 9, Millis(1050));
  CHECK(Node.takePeers(Millis(1100)) == Peers{"b", "a"});
  Node.onAnswered("a", true);
  Node.onApplied(5);
  CHECK(Node.behind());
  CHECK(Node.takePeers(Millis(1101)).empty());
  Node.onAnswered("b", true);
  CHECK(Node.takePeers(Millis(1102)) == Peers{"b"});
}
