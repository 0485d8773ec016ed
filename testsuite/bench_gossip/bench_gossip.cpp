/// Measures what membership costs a node in fleets of several sizes, in virtual
/// time: the bytes sent and received per second (including IP and UDP headers)
/// and the CPU time, each in an idle fleet and with the changes of an ordinary
/// day, and the memory. Prints a table and the slopes between neighbouring
/// sizes.
///
/// Usage: bench_gossip [SECONDS [SIZE...]]
///
/// Nodes exchange messages almost only within their region. When a fleet is
/// larger than MaxRunningNodes, whole regions are therefore replaced by stubs,
/// which are in every member table and answer direct probes, but run no node
/// code.

#include "codec.h"
#include "coltsfoot_types.h"
#include "gossipfleet.h"
#include "gossipwire.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <map>

using namespace coltsfoot;

namespace {

constexpr int MaxRunningNodes = 3200;
constexpr int FullFleetSize = 6400;
constexpr int Regions = 7;
constexpr int Zones = 20;
constexpr double DayMs = 86'400'000;
/// Changes of the full fleet on an ordinary day.
constexpr double MemberChangesPerDay = 747;
constexpr double RecordsPerDay = 11'000;
constexpr size_t RecordBytes = 300;
/// Time at the end of a measurement in which no record is published.
constexpr double ArrivalMarginMs = 10'000;

double cpuMs() {
  timespec Spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Spent);
  return double(Spent.tv_sec) * 1e3 + double(Spent.tv_nsec) / 1e6;
}

double heapBytes() {
  struct mallinfo2 Info = mallinfo2();
  return double(Info.uordblks + Info.hblkhd);
}

struct Totals {
  double Sent_ = 0;
  double Received_ = 0;
  double Datagrams_ = 0;
  double Probes_ = 0;
};

struct Cost {
  double SentPerS_ = 0;
  double ReceivedPerS_ = 0;
  double DatagramsPerS_ = 0;
  double CpuPercent_ = 0;
  double RelayBytesPerS_ = 0;
  double bytesPerS() const { return SentPerS_ + ReceivedPerS_; }
};

class Bench {
public:
  explicit Bench(int Size) : Size_(Size), Fleet_(options(), uint64_t(Size)) {
    Fleet_.OnUnknownTarget_ = [this](int From, const OutgoingDatagram &Sent) {
      answerForStub(From, Sent);
    };
    build();
  }

  int running() const { return Fleet_.size(); }
  double heapPerNode() const { return HeapPerNode_; }

  /// Runs the fleet for a time with the given numbers of member changes and
  /// configuration records per day, and returns the mean cost of a node.
  Cost measure(double Seconds, double ChangesPerDay, double RecordsADay) {
    auto Before = totals(false);
    auto RelaysBefore = totals(true);
    double CpuMsBefore = cpuMs();
    double StubMsBefore = StubMs_;
    double ChangeEvery = ChangesPerDay > 0 ? DayMs / ChangesPerDay : 1e300;
    double RecordEvery = RecordsADay > 0 ? DayMs / RecordsADay : 1e300;
    double NextChange = ChangeEvery / 2;
    double NextRecord = RecordEvery / 2;
    for (double Now = 0; Now < Seconds * 1000; Now += 100) {
      if (Now >= NextChange) {
        restartNode();
        NextChange += ChangeEvery;
      }
      // Records must reach all nodes before the measurement ends.
      if (Now >= NextRecord && Now < Seconds * 1000 - ArrivalMarginMs) {
        publishRecord();
        NextRecord += RecordEvery;
      }
      Fleet_.run(Millis(100));
      applyRecords();
      updateMaxSpread();
    }
    double N = running();
    Cost Result;
    Result.CpuPercent_ = (cpuMs() - CpuMsBefore - (StubMs_ - StubMsBefore)) /
                         (Seconds * 1000) / N * 100;
    auto After = totals(false);
    auto RelaysAfter = totals(true);
    Result.SentPerS_ = (After.Sent_ - Before.Sent_) / Seconds / N;
    Result.ReceivedPerS_ = (After.Received_ - Before.Received_) / Seconds / N;
    Result.DatagramsPerS_ =
        (After.Datagrams_ - Before.Datagrams_) / Seconds / N;
    Result.RelayBytesPerS_ = (RelaysAfter.Sent_ - RelaysBefore.Sent_ +
                              RelaysAfter.Received_ - RelaysBefore.Received_) /
                             Seconds / std::max(1, Relays_);
    return Result;
  }

  void settle() { Fleet_.run(Millis(90'000)); }
  int falseDeaths() const { return Fleet_.FalsePositives_; }
  /// Returns whether all nodes hold the same member table; always true in a
  /// fleet with stubs, where this is not checked.
  bool converged() const { return Size_ > running() || Fleet_.converged(); }
  /// Returns the longest time from a record's publication until all nodes had
  /// applied it, either from a push or after learning that a peer was ahead.
  double maxSpreadMs() const { return MaxSpreadMs_; }
  /// Returns the share of (node, record) pairs delivered by a push.
  double pushed() const {
    return Records_ == 0 ? 1 : double(Arrived_) / double(Records_) / running();
  }

private:
  static GossipOptions options() {
    GossipOptions Options;
    Options.Fleet_ = "bench";
    return Options;
  }

  static std::string regionOf(int Number) {
    return "region-" + std::to_string(Number % Regions);
  }

  /// Returns the zone of a node. Six of the seven regions have three zones
  /// each, the last has two.
  static std::string zoneOf(int Number) {
    int Region = Number % Regions;
    int PerRegion = Region == Regions - 1 ? 2 : 3;
    static_assert(Zones == 6 * 3 + 2);
    return regionOf(Number) + "-zone-" +
           std::to_string(Number / Regions % PerRegion);
  }

  /// Starts the running nodes and creates the stubs, then delivers all members
  /// to each running node as a table transfer.
  void build() {
    // Run as many regions as fit under MaxRunningNodes, at least one.
    int Running = Regions;
    while (Running > 1 && Size_ / Regions * Running > MaxRunningNodes)
      --Running;
    double Before = heapBytes();
    std::vector<Member> All;
    for (int I = 0; I < Size_; ++I) {
      if (I % Regions < Running) {
        int Number = Fleet_.add(regionOf(I), zoneOf(I));
        All.push_back(Fleet_.gossip(Number).table().self());
        continue;
      }
      Member Stub;
      Stub.Node_ = "11.0." + std::to_string(I / 256) + "." +
                   std::to_string(I % 256) + ":7400";
      Stub.Incarnation_ = stableHash(Stub.Node_);
      Stub.Generation_ = Fleet_.Clock_.wallNow().whole();
      Stub.Region_ = regionOf(I);
      Stub.Zone_ = zoneOf(I);
      Stubs_[Stub.Node_] = Stub;
      All.push_back(Stub);
    }
    std::vector<std::string> Transfers = transfersOf(All);
    for (int I = 0; I < running(); ++I) {
      for (const std::string &Bytes : Transfers)
        Fleet_.gossip(I).receive(Bytes);
      Fleet_.gossip(I).takeEvents();
    }
    HeapPerNode_ = (heapBytes() - Before) / running();
  }

  static std::vector<std::string> transfersOf(const std::vector<Member> &All) {
    constexpr size_t MembersPerDatagram = 500;
    std::vector<std::string> Encoded;
    for (size_t I = 0; I < All.size(); I += MembersPerDatagram) {
      wire::Datagram Message;
      Message.fleet = options().Fleet_;
      Message.sender = toWire(All[I]);
      wire::TableDigest Marker;
      Marker.answer = true;
      Message.__set_digest(Marker);
      for (size_t J = I; J < std::min(All.size(), I + MembersPerDatagram); ++J)
        Message.members.push_back(toWire(All[J]));
      Encoded.push_back(encodeDatagram(Message));
    }
    return Encoded;
  }

  /// Answers a direct probe that a node sent to a stub; ignores other
  /// datagrams.
  void answerForStub(int From, const OutgoingDatagram &Sent) {
    double Start = cpuMs();
    auto Stub = Stubs_.find(Sent.Node_);
    if (Stub != Stubs_.end()) {
      wire::Datagram Request = decodeDatagram(Sent.Bytes_);
      if (Request.__isset.probe && Request.probe.target.empty()) {
        wire::Datagram Message;
        Message.fleet = options().Fleet_;
        Message.sender = toWire(Stub->second);
        wire::ProbeAck Ack;
        Ack.sequence = Request.probe.sequence;
        Message.__set_ack(Ack);
        std::string Bytes = encodeDatagram(Message);
        StubMs_ += cpuMs() - Start;
        Fleet_.post(From, Fleet_.gossip(From).receive(Bytes));
        return;
      }
    }
    StubMs_ += cpuMs() - Start;
  }

  /// Restarts one node: it leaves the fleet and joins again at the same address
  /// with a new incarnation.
  void restartNode() {
    int Number = int(++Restarts_ * 7919 % running());
    Fleet_.leave(Number);
    std::vector<std::string> Peers;
    for (int I = 1; I <= 3; ++I)
      Peers.push_back(Fleet_.address((Number + 41 * I) % running()));
    Fleet_.start(Number, Peers);
    Fleet_.gossip(Number).setConfigOffset(Records_);
    Fleet_.gossip(Number).updateSelf("service", 40);
  }

  void publishRecord() {
    GossipRecord NewRecord{Records_++, std::string(RecordBytes, 'r')};
    Pending_[NewRecord.Offset_] = Fleet_.Clock_.now();
    int LogReader = int(Records_ * 104'729 % running());
    Fleet_.node(LogReader).Records_.push_back(NewRecord);
    Fleet_.gossip(LogReader).spread(std::span(&NewRecord, 1));
  }

  /// Lets each node apply the records that it received. A node that learned of
  /// a peer ahead counts as having fetched the missing records at once.
  void applyRecords() {
    for (auto &Node : Fleet_.Nodes_) {
      Arrived_ += int64_t(Node.Records_.size());
      for (const GossipRecord &Got : std::exchange(Node.Records_, {}))
        Node.Gossip_->setConfigOffset(Got.Offset_ + 1);
      for (const PeerAhead &Ahead : std::exchange(Node.PeersAhead_, {}))
        Node.Gossip_->setConfigOffset(Ahead.Offset_);
    }
  }

  void updateMaxSpread() {
    if (Pending_.empty())
      return;
    int64_t MinOffset = INT64_MAX;
    for (auto &Node : Fleet_.Nodes_)
      MinOffset =
          std::min(MinOffset, Node.Gossip_->table().self().ConfigOffset_);
    while (!Pending_.empty() && Pending_.begin()->first < MinOffset) {
      Millis SpreadTime = Fleet_.Clock_.now() - Pending_.begin()->second;
      MaxSpreadMs_ = std::max(MaxSpreadMs_, SpreadTime.count());
      Pending_.erase(Pending_.begin());
    }
  }

  Totals totals(bool RelaysOnly) {
    Totals Sum;
    int Count = 0;
    for (auto &Node : Fleet_.Nodes_) {
      if (RelaysOnly && !Node.Gossip_->isRelay())
        continue;
      ++Count;
      const GossipCounters &Figures = Node.Gossip_->counters();
      Sum.Sent_ += double(Figures.BytesSent_);
      Sum.Received_ += double(Figures.BytesReceived_);
      Sum.Datagrams_ +=
          double(Figures.DatagramsSent_ + Figures.DatagramsReceived_);
    }
    if (RelaysOnly)
      Relays_ = Count;
    return Sum;
  }

  int Size_;
  GossipFleet Fleet_;
  std::map<std::string, Member> Stubs_;
  double StubMs_ = 0;
  double HeapPerNode_ = 0;
  int64_t Restarts_ = 0;
  int64_t Records_ = 0;
  int64_t Arrived_ = 0;
  std::map<int64_t, Millis> Pending_; ///< Publication time by record offset.
  double MaxSpreadMs_ = 0;
  int Relays_ = 0;
};

struct Row {
  int Size_;
  Cost Idle_;
  Cost Busy_;
  double HeapMb_;
};

} // namespace

int main(int Count, char **Arguments) {
  double Seconds = Count > 1 ? std::atof(Arguments[1]) : 120;
  std::vector<int> Sizes;
  for (int I = 2; I < Count; ++I)
    Sizes.push_back(std::atoi(Arguments[I]));
  if (Sizes.empty())
    Sizes = {50, 200, 800, 3200, 6400};
  std::printf(
      "%6s %6s | %8s %8s %6s %7s | %8s %8s %6s %7s %9s | %7s %7s %8s %s\n", "n",
      "run", "idle B/s", "sent B/s", "dg/s", "cpu %", "busy B/s", "sent B/s",
      "dg/s", "cpu %", "relay B/s", "heap MB", "pushed", "worst ms",
      "false deaths");
  std::vector<Row> Rows;
  for (int Size : Sizes) {
    Bench Fleet(Size);
    Fleet.settle();
    Row R{Size, Fleet.measure(Seconds, 0, 0), {}, Fleet.heapPerNode() / 1e6};
    // Member changes are proportional to the number of running nodes. The
    // record rate is that of the full fleet at any size.
    double Share = double(Fleet.running()) / FullFleetSize;
    R.Busy_ =
        Fleet.measure(Seconds, MemberChangesPerDay * Share, RecordsPerDay);
    std::printf("%6d %6d | %8.0f %8.0f %6.1f %7.4f | %8.0f %8.0f %6.1f %7.4f "
                "%9.0f | %7.2f %7.4f %8.0f %d%s\n",
                Size, Fleet.running(), R.Idle_.bytesPerS(), R.Idle_.SentPerS_,
                R.Idle_.DatagramsPerS_, R.Idle_.CpuPercent_,
                R.Busy_.bytesPerS(), R.Busy_.SentPerS_, R.Busy_.DatagramsPerS_,
                R.Busy_.CpuPercent_, R.Busy_.RelayBytesPerS_, R.HeapMb_,
                Fleet.pushed(), Fleet.maxSpreadMs(), Fleet.falseDeaths(),
                Fleet.converged() ? "" : " (not converged at the end)");
    std::fflush(stdout);
    Rows.push_back(R);
  }
  std::printf("slopes: traffic and CPU per doubling of n, memory per member\n");
  for (size_t I = 1; I < Rows.size(); ++I) {
    const Row &A = Rows[I - 1];
    const Row &B = Rows[I];
    double Doublings = std::log2(double(B.Size_) / A.Size_);
    std::printf("%6d-%-6d idle %+.0f B/s  busy %+.0f B/s  busy cpu %+.4f %%  "
                "heap %.0f B\n",
                A.Size_, B.Size_,
                (B.Idle_.bytesPerS() - A.Idle_.bytesPerS()) / Doublings,
                (B.Busy_.bytesPerS() - A.Busy_.bytesPerS()) / Doublings,
                (B.Busy_.CpuPercent_ - A.Busy_.CpuPercent_) / Doublings,
                (B.HeapMb_ - A.HeapMb_) * 1e6 / (B.Size_ - A.Size_));
  }
  return 0;
}
