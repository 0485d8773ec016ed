#pragma once

#include "configcatchup.h"
#include "gossipfleet.h"
#include "memberview.h"
#include "sourcepolling.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace coltsfoot {

/// A fleet in virtual time whose nodes follow a store of complete
/// configurations by Gossip, ConfigCatchUp and SourcePolling. It tells how long
/// a version takes to reach the last node that is alive.
class ConfigFleet {
public:
  struct Trouble {
    double SilentShare_ = 0;  ///< Nodes to which the store is silent.
    double RefusedShare_ = 0; ///< Nodes that the store refuses.
    Millis Outage_;           ///< How long it lasts before the change.
    bool Ends_ = true;        ///< Whether it ends just before the change.
    double LostShare_ = 0;    ///< Nodes that lose power just after the change.
    int Versions_ = 1;        ///< Changes, 60 ms apart.
    /// Whether the store is silent to, or refuses, log readers alone.
    bool ReadersOnly_ = false;
    /// Whether all log readers lose power or freeze just before the change.
    bool ReadersLost_ = false;
    bool ReadersFrozen_ = false;
  };

  /// With Before, the nodes act as they did before announcements, side by side
  /// fetches and given up requests.
  ConfigFleet(int Size, uint64_t Seed, bool Before)
      : Before_(Before), Random_(Seed), Fleet_(gossipOptions(Before), Seed) {
    constexpr int Zones = 3;
    std::vector<std::string> Seeds;
    for (int I = 0; I < Size; ++I) {
      Fleet_.add("region", "zone-" + std::to_string(I % Zones), Seeds);
      if (I < Zones)
        Seeds.push_back(Fleet_.address(I));
      Node &Added = Nodes_.emplace_back();
      Added.CatchUp_ = ConfigCatchUp(catchUpOptions(Before));
      Added.Polling_ = SourcePolling(pollingOptions(Before));
      Fleet_.gossip(I).setConfigOffset(Version_);
    }
    Fleet_.runUntil([&] { return Fleet_.converged(); }, Millis(60'000));
    for (int I = 0; I < Size; ++I)
      poll(I);
    // Long requests are at any age when the trouble begins.
    run(Millis(double(Random_() % 8000)));
  }

  /// Returns how long after the acknowledgement of the last version the last
  /// living node has it, or the limit; nothing if the store serves no living
  /// node.
  std::optional<Millis> timeToLast(const Trouble &Case, Millis Limit) {
    for (Node &Each : Nodes_) {
      double Draw = double(Random_() % 10'000) / 10'000;
      if (Case.ReadersOnly_ && !Each.Reader_)
        Draw = 1;
      Each.Silent_ = Draw < Case.SilentShare_;
      Each.Refused_ =
          !Each.Silent_ && Draw < Case.SilentShare_ + Case.RefusedShare_;
      // Connections to a silent store may lose what was sent before as well.
      if (Each.Silent_ && Random_() % 2 == 0)
        Each.RequestLost_ = true;
    }
    run(Case.Outage_);
    if (Case.Ends_)
      for (Node &Each : Nodes_)
        Each.Silent_ = Each.Refused_ = false;
    for (int I = 0; I < size(); ++I)
      if (Nodes_[size_t(I)].Reader_ && Case.ReadersLost_)
        Fleet_.kill(I);
      else if (Nodes_[size_t(I)].Reader_ && Case.ReadersFrozen_)
        Fleet_.pause(I);
    for (int I = 0; I < Case.Versions_; ++I) {
      constexpr Millis VersionInterval(60);
      run(I == 0 ? Millis(double(Random_() % 1000)) : VersionInterval);
      Version_ += 4;
    }
    Millis Acknowledged = now();
    run(Millis(double(Random_() % 5) * GossipFleet::StepMs));
    for (int I = 0; I < size(); ++I)
      if (double(Random_() % 10'000) / 10'000 < Case.LostShare_)
        Fleet_.kill(I);
    if (!servesAny())
      return {};
    while (now() - Acknowledged < Limit && !allHave())
      run(Millis(GossipFleet::StepMs));
    return now() - Acknowledged;
  }

  /// Returns how many requests all nodes have sent to the store.
  uint64_t storeCalls() const { return StoreCalls_; }

private:
  static constexpr Millis Never = Millis(1e12);
  static constexpr Millis ResponseTimeout = Millis(1500);
  /// After which a connection to a node without power counts as lost.
  static constexpr Millis PeerSilenceLimit = Millis(900);

  struct Fetch {
    int Peer_ = 0;
    Millis End_;
    bool Lost_ = false;
  };
  struct Node {
    bool Reader_ = true;
    uint64_t TableVersion_ = 0; ///< For which Reader_ was determined.
    bool Silent_ = false;
    bool Refused_ = false;
    int64_t Applied_ = 1;
    int64_t Position_ = 1; ///< The version up to which the store was read.
    int64_t News_ = 1;
    ConfigCatchUp CatchUp_;
    SourcePolling Polling_;
    std::vector<Fetch> Fetches_;
    bool Requesting_ = false;
    bool RequestLost_ = false;
    Millis WaitEnd_;
    Millis TimeLimit_;
    Millis NextRequest_;
  };

  static GossipOptions gossipOptions(bool Before) {
    GossipOptions Options;
    Options.Fleet_ = "model";
    Options.SuspicionTime_ = Millis(1000);
    Options.AnnouncesConfig_ = !Before;
    return Options;
  }

  static ConfigCatchUp::Options catchUpOptions(bool Before) {
    if (!Before)
      return {};
    return {Millis(200), 1, Millis(1000), 1};
  }

  static SourcePolling::Options pollingOptions(bool Before) {
    SourcePolling::Options Options;
    Options.FollowWait_ = Millis(30'000);
    if (Before)
      Options.RetryMax_ = Options.FollowRetryMax_ = Millis(1000);
    return Options;
  }

  int size() const { return static_cast<int>(Nodes_.size()); }
  Millis now() const { return Fleet_.Clock_.now(); }
  bool alive(int I) {
    return Fleet_.node(I).Running_ && !Fleet_.node(I).Paused_;
  }

  bool servesAny() {
    for (int I = 0; I < size(); ++I)
      if (alive(I) && !Nodes_[size_t(I)].Silent_ && !Nodes_[size_t(I)].Refused_)
        return true;
    return false;
  }

  bool allHave() {
    for (int I = 0; I < size(); ++I)
      if (alive(I) && Nodes_[size_t(I)].Applied_ < Version_)
        return false;
    return true;
  }

  void run(Millis Span) {
    for (double Left = Span.count(); Left > 0; Left -= GossipFleet::StepMs) {
      Fleet_.run(Millis(GossipFleet::StepMs));
      for (int I = 0; I < size(); ++I)
        if (alive(I))
          step(I);
    }
  }

  void step(int I) {
    Node &N = Nodes_[size_t(I)];
    for (const PeerAhead &Ahead :
         std::exchange(Fleet_.node(I).PeersAhead_, {})) {
      N.CatchUp_.onNews(Ahead.Node_, Ahead.Offset_, now());
      if (!Before_ && Ahead.Offset_ > std::max(N.News_, N.Position_)) {
        N.News_ = Ahead.Offset_;
        N.Polling_.onNews(now());
      }
    }
    chooseReaders(I);
    endFetches(N);
    N.CatchUp_.setSourceLost(!Before_ && N.Polling_.lost());
    for (const std::string &Peer : N.CatchUp_.takePeers(now()))
      startFetch(N, Peer);
    followStore(I);
    adopt(I, N.Applied_);
  }

  void chooseReaders(int I) {
    Node &N = Nodes_[size_t(I)];
    const MemberTable &Table = Fleet_.gossip(I).table();
    if (N.TableVersion_ == Table.version())
      return;
    N.TableVersion_ = Table.version();
    auto Readers = MemberView(Table).logReadersOf(Table.self().Zone_);
    N.Reader_ =
        std::any_of(Readers.begin(), Readers.end(), [&](const auto &Each) {
          return Each->Member_.Node_ == Table.self().Node_;
        });
  }

  void adopt(int I, int64_t Version) {
    Node &N = Nodes_[size_t(I)];
    N.Applied_ = std::max(N.Applied_, Version);
    N.CatchUp_.onApplied(N.Applied_);
    constexpr double TicksOf200Ms = 20;
    bool Tick = (size_t(now().count() / GossipFleet::StepMs) + size_t(I)) %
                    size_t(TicksOf200Ms) ==
                0;
    if (!Before_ || Tick)
      Fleet_.gossip(I).setConfigOffset(N.Applied_);
  }

  void startFetch(Node &N, const std::string &Peer) {
    for (int P = 0; P < size(); ++P)
      if (Fleet_.node(P).Self_.Node_ == Peer)
        N.Fetches_.push_back({P,
                              now() + (alive(P) ? Millis(GossipFleet::StepMs)
                                                : PeerSilenceLimit),
                              !alive(P)});
  }

  void endFetches(Node &N) {
    for (const Fetch &Each : N.Fetches_) {
      if (now() < Each.End_)
        continue;
      int64_t Offered = Each.Lost_ ? 0 : Nodes_[size_t(Each.Peer_)].Applied_;
      N.CatchUp_.onAnswered(Fleet_.address(Each.Peer_), Offered > N.Applied_);
      N.Applied_ = std::max(N.Applied_, Offered);
    }
    std::erase_if(N.Fetches_,
                  [&](const Fetch &Each) { return now() >= Each.End_; });
  }

  void poll(int I) {
    Node &N = Nodes_[size_t(I)];
    SourcePolling::Options Options = pollingOptions(Before_);
    Millis Wait = N.Polling_.wait(N.Reader_);
    if (Before_)
      Wait = N.Reader_ ? Options.ReaderWait_ : Options.FollowWait_;
    ++StoreCalls_;
    N.Requesting_ = true;
    N.RequestLost_ = N.Silent_;
    N.WaitEnd_ = now() + Wait;
    N.TimeLimit_ = N.WaitEnd_ + ResponseTimeout;
    N.Polling_.onSent(now(), Wait);
    if (!Before_ && N.News_ > N.Position_)
      N.Polling_.onNews(now());
  }

  void retry(Node &N) {
    N.Requesting_ = false;
    N.Polling_.onFailed();
    double Jitter = 0.5 + double(Random_() % 1024) / 1024;
    N.NextRequest_ = now() + N.Polling_.takeRetryDelay(N.Reader_) * Jitter;
  }

  void followStore(int I) {
    Node &N = Nodes_[size_t(I)];
    if (!N.Requesting_) {
      if (now() >= N.NextRequest_ || N.Polling_.shouldHurry(now()))
        poll(I);
      return;
    }
    bool Answers = !N.RequestLost_ && !N.Silent_;
    if (Answers && N.Refused_)
      return retry(N);
    if (Answers && (N.Position_ < Version_ || now() >= N.WaitEnd_)) {
      N.Position_ = Version_;
      N.Applied_ = std::max(N.Applied_, Version_);
      N.Polling_.onAnswered();
      N.Polling_.resetRetryDelay();
      return poll(I);
    }
    if (now() >= N.TimeLimit_)
      return retry(N);
    if (N.Polling_.shouldGiveUp(now(), N.Reader_)) {
      N.Polling_.onGivenUp();
      poll(I);
    }
  }

  const bool Before_;
  std::mt19937_64 Random_;
  GossipFleet Fleet_;
  std::vector<Node> Nodes_;
  int64_t Version_ = 1;
  uint64_t StoreCalls_ = 0;
};

} // namespace coltsfoot
