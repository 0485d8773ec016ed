#pragma once

#include "coltsfootpoint/time.h"
#include "gossip.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfoot {

/// Simulates a fleet of Gossip objects that exchange datagrams in virtual time,
/// for unit tests and benchmarks. A datagram takes one to three steps.
/// Datagrams can be lost, the network can be partitioned, and nodes can be
/// killed or paused. Not thread-safe.
class GossipFleet {
public:
  static constexpr double StepMs = 10;
  static constexpr int StepsPerTick = 5;

  struct Node {
    Member Self_;
    std::unique_ptr<Gossip> Gossip_;
    bool Running_ = true;
    bool Paused_ = false;
    int Partition_ = 0;
    /// When the node was last started or resumed.
    Millis HealthySince_;
    std::vector<std::string> Inbox_; ///< Datagrams received while paused.
    std::vector<GossipRecord> Records_;
    std::vector<PeerAhead> PeersAhead_;
  };

  GossipFleet(GossipOptions Options, uint64_t Seed)
      : Options_(std::move(Options)), Random_(Seed) {}

  /// Adds a node that contacts the given peers, and starts it. Returns its
  /// number.
  int add(const std::string &Region, const std::string &Zone,
          std::vector<std::string> Peers = {}) {
    auto Number = static_cast<int>(Nodes_.size());
    Node Added;
    Added.Self_.Node_ = "10." + std::to_string(Number / 65536) + "." +
                        std::to_string(Number / 256 % 256) + "." +
                        std::to_string(Number % 256) + ":7400";
    Added.Self_.Region_ = Region;
    Added.Self_.Zone_ = Zone;
    Nodes_.push_back(std::move(Added));
    Numbers_[Nodes_.back().Self_.Node_] = Number;
    start(Number, std::move(Peers));
    return Number;
  }

  /// Starts a node, or starts it again at the same address with a new
  /// incarnation.
  void start(int Number, std::vector<std::string> Peers,
             int64_t Generation = 0) {
    Node &N = Nodes_[size_t(Number)];
    GossipOptions Options = Options_;
    Options.Peers_ = std::move(Peers);
    N.Self_.Incarnation_ = Random_();
    N.Self_.Generation_ = Generation;
    N.Gossip_ = std::make_unique<Gossip>(std::move(Options), N.Self_, Clock_,
                                         Random_());
    N.Running_ = true;
    N.Paused_ = false;
    N.HealthySince_ = Clock_.now();
  }

  void kill(int Number) { node(Number).Running_ = false; }

  void leave(int Number) {
    post(Number, gossip(Number).leave());
    kill(Number);
  }

  void pause(int Number) { node(Number).Paused_ = true; }

  void resume(int Number) {
    Node &N = node(Number);
    N.Paused_ = false;
    N.HealthySince_ = Clock_.now();
    for (const std::string &Bytes : std::exchange(N.Inbox_, {}))
      post(Number, N.Gossip_->receive(Bytes));
  }

  void setPartition(int Number, int Partition) {
    node(Number).Partition_ = Partition;
  }

  /// Advances the simulation by a span of virtual time.
  void run(Millis Span) {
    for (double Left = Span.count(); Left > 0; Left -= StepMs)
      step();
  }

  /// Advances the simulation until the condition holds. Returns the virtual
  /// time that this took, or a negative value when the limit was reached first.
  Millis runUntil(const std::function<bool()> &Condition, Millis Limit) {
    Millis Start = Clock_.now();
    while (!Condition()) {
      if (Clock_.now() - Start >= Limit)
        return Millis(-1);
      run(Millis(100));
    }
    return Clock_.now() - Start;
  }

  /// Returns whether all running nodes hold the same member table, in which
  /// exactly the running nodes are present, each with its own latest record.
  bool converged() const {
    const Gossip *First = nullptr;
    int Running = 0;
    for (const Node &N : Nodes_) {
      if (!N.Running_)
        continue;
      ++Running;
      if (!First)
        First = N.Gossip_.get();
      if (N.Gossip_->table().digests() != First->table().digests())
        return false;
      const Member *Seen = First->table().find(N.Self_.Node_);
      const Member &Own = N.Gossip_->table().self();
      if (!Seen || Seen->Generation_ != Own.Generation_ ||
          Seen->State_ != Own.State_ || Seen->Incarnation_ != Own.Incarnation_)
        return false;
    }
    return !First || First->table().presentCount() == Running;
  }

  /// Returns whether all other nodes that run and are not paused hold the node
  /// in this state in their member tables.
  bool allKnow(int Number, MemberState State) const {
    const std::string &Subject = Nodes_[size_t(Number)].Self_.Node_;
    for (const Node &N : Nodes_) {
      if (!N.Running_ || N.Paused_ || N.Self_.Node_ == Subject)
        continue;
      const Member *Known = N.Gossip_->table().find(Subject);
      if (!Known || Known->State_ != State)
        return false;
    }
    return true;
  }

  Node &node(int Number) { return Nodes_[size_t(Number)]; }
  Gossip &gossip(int Number) { return *node(Number).Gossip_; }
  int size() const { return static_cast<int>(Nodes_.size()); }
  std::string address(int Number) { return node(Number).Self_.Node_; }

  /// Sends datagrams of a node. The simulation does so with those that tick()
  /// and receive() return; a test does so with those that it gets from other
  /// functions of a Gossip. Each is lost with probability LossProbability_.
  void post(int From, std::vector<OutgoingDatagram> Datagrams) {
    for (OutgoingDatagram &Datagram : Datagrams) {
      auto Target = Numbers_.find(Datagram.Node_);
      if (Target == Numbers_.end()) {
        if (OnUnknownTarget_)
          OnUnknownTarget_(From, Datagram);
        continue;
      }
      if (double(Random_() % 10'000) / 10'000 < LossProbability_)
        continue;
      InFlight_[(Step_ + 1 + Random_() % 3) % DelaySlots].push_back(
          {From, Target->second, std::move(Datagram.Bytes_)});
    }
  }

  ManualClock Clock_;
  double LossProbability_ = 0;
  /// How often a node declared a healthy node of its own partition dead. A node
  /// is healthy when it runs and has been neither paused nor restarted for
  /// MinHealthyTime_.
  int FalsePositives_ = 0;
  /// How long a node must have been healthy for its death to count as a false
  /// positive.
  Millis MinHealthyTime_ = Millis(0);
  /// Receives the datagrams to addresses that belong to no node of the fleet.
  std::function<void(int From, const OutgoingDatagram &)> OnUnknownTarget_;
  std::vector<Node> Nodes_;

private:
  static constexpr size_t DelaySlots = 4;
  struct DatagramInFlight {
    int From_;
    int To_;
    std::string Bytes_;
  };

  void step() {
    Clock_.advance(Millis(StepMs));
    ++Step_;
    for (DatagramInFlight &Datagram :
         std::exchange(InFlight_[Step_ % DelaySlots], {}))
      deliver(Datagram);
    for (int I = 0; I < size(); ++I) {
      Node &N = node(I);
      if (!N.Running_ || N.Paused_)
        continue;
      if ((Step_ + size_t(I)) % StepsPerTick == 0) {
        post(I, N.Gossip_->tick());
        takeEvents(N);
      }
    }
  }

  void deliver(DatagramInFlight &Datagram) {
    Node &To = node(Datagram.To_);
    if (!To.Running_ || To.Partition_ != node(Datagram.From_).Partition_)
      return;
    if (To.Paused_)
      To.Inbox_.push_back(std::move(Datagram.Bytes_));
    else
      post(Datagram.To_, To.Gossip_->receive(Datagram.Bytes_));
  }

  void takeEvents(Node &Observer) {
    GossipEvents Events = Observer.Gossip_->takeEvents();
    for (const MemberChange &Change : Events.Changes_) {
      if (Change.New_.State_ != MemberState::Dead)
        continue;
      auto Found = Numbers_.find(Change.New_.Node_);
      if (Found == Numbers_.end())
        continue;
      const Node &Subject = node(Found->second);
      if (Subject.Running_ && !Subject.Paused_ &&
          Subject.Partition_ == Observer.Partition_ &&
          Clock_.now() - Subject.HealthySince_ >= MinHealthyTime_)
        ++FalsePositives_;
    }
    for (GossipRecord &Record : Events.Records_)
      Observer.Records_.push_back(std::move(Record));
    if (Events.PeerAhead_)
      Observer.PeersAhead_.push_back(*Events.PeerAhead_);
  }

  GossipOptions Options_;
  std::mt19937_64 Random_;
  std::unordered_map<std::string, int> Numbers_;
  std::vector<DatagramInFlight> InFlight_[DelaySlots];
  size_t Step_ = 0;
};

} // namespace coltsfoot
