#include "configsync.h"

#include "coltsfoot_types.h"
#include "configstate.h"
#include "gossipservice.h"
#include "memberview.h"
#include "peerpool.h"
#include "timer.h"

#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <variant>

namespace coltsfoot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds TickInterval(200);
constexpr size_t MaxBatchBytes = 512 * 1024;
constexpr size_t PeersToQuery = 3;
/// A node that has received no datagram from any peer for this time reads the
/// log itself.
constexpr Millis PeerSilenceLimit(1000);

} // namespace

ConfigSync::ConfigSync(asio::io_context &Context, ConfigService &Config,
                       GossipService &Gossip, PeerPool &Peers, std::string Node,
                       std::string Zone)
    : Config_(Config), Gossip_(Gossip), Peers_(Peers), Node_(std::move(Node)),
      Zone_(std::move(Zone)), Strand_(asio::make_strand(Context)),
      Timer_(Strand_), CatchUpTimer_(Strand_) {}

ConfigSync::~ConfigSync() = default;

void ConfigSync::start() {
  if (Config_.hasExternalSource())
    Config_.OnAdopted_ = [this](int64_t Next) {
      Gossip_.setConfigOffset(Next);
      asio::dispatch(Strand_, [this] { catchUp(); });
    };
  Config_.FetchFromPeers_ = [this](int64_t From) {
    asio::dispatch(Strand_, [this, From] {
      std::string Peer = peerAhead(From);
      if (!Peer.empty())
        fetch(Peer, From, false);
    });
  };
  Config_.OnApplied_ = [this](std::span<const LogRecord> Records) {
    std::vector<GossipRecord> Copies;
    for (const LogRecord &Record : Records)
      Copies.push_back({Record.Offset_, Record.Data_});
    Gossip_.spread(std::move(Copies));
  };
  asio::post(Strand_, [this] { arm(); });
}

void ConfigSync::stop() {
  asio::post(Strand_, [this] {
    Stopped_ = true;
    Timer_.cancel();
    CatchUpTimer_.cancel();
  });
}

void ConfigSync::arm() {
  Timer_.expires_after(TickInterval);
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    // First, so that an exception in tick() does not end the ticks.
    arm();
    tick();
  });
}

// The choice of readers needs no lease: extra readers of a zone are harmless,
// and a zone is without a reader only until the next tick of another node.
void ConfigSync::tick() {
  Gossip_.setConfigOffset(Config_.current()->nextOffset());
  if (Config_.hasExternalSource())
    catchUp();
  else if (!Config_.ready())
    queryPeersAtStart();
  if (!Config_.ready())
    return;
  auto Members = Gossip_.view();
  bool Reader = false;
  for (const auto &MemberEntry : Members->logReadersOf(Zone_))
    Reader = Reader || MemberEntry->Member_.Node_ == Node_;
  bool PeersSilent = Gossip_.status().Silence_ > PeerSilenceLimit;
  Config_.setLogReader(Reader || PeersSilent || Members->presentCount() <= 1);
}

// The log may be down. The newest configuration among PeersToQuery peers, or
// among all peers when there are fewer, is then considered current.
void ConfigSync::queryPeersAtStart() {
  if (!Gossip_.status().Synced_)
    return;
  auto Members = Gossip_.view();
  size_t Others = 0;
  for (const auto &MemberEntry : Members->all()) {
    if (MemberEntry->Member_.Node_ == Node_ ||
        MemberEntry->Member_.State_ == MemberState::Dead)
      continue;
    ++Others;
    if (QueriedPeers_.size() < PeersToQuery &&
        QueriedPeers_.insert(MemberEntry->Member_.Node_).second)
      fetch(MemberEntry->Member_.Node_, Config_.current()->nextOffset(), true);
  }
  if (Others > 0 && AnsweredPeers_.size() >= std::min(PeersToQuery, Others))
    Config_.onPeersQueried();
}

// The peer that last reported a higher offset may have left the fleet since.
std::string ConfigSync::peerAhead(int64_t Offset) const {
  std::string Found;
  auto Members = Gossip_.view();
  for (const auto &MemberEntry : Members->all()) {
    const Member &Peer = MemberEntry->Member_;
    if (Peer.Node_ == Node_ || Peer.State_ == MemberState::Dead)
      continue;
    if (Peer.Node_ == AheadPeer_)
      return AheadPeer_;
    if (Peer.ConfigOffset_ > Offset && Peer.State_ != MemberState::Suspect)
      Found = Peer.Node_;
  }
  return Found;
}

void ConfigSync::onPeerAhead(const std::string &Peer, int64_t NextOffset) {
  asio::dispatch(Strand_, [this, Peer, NextOffset] {
    AheadPeer_ = Peer;
    Config_.onPeerOffset(NextOffset);
    if (!Config_.hasExternalSource() ||
        NextOffset <= Config_.current()->nextOffset())
      return;
    CatchUp_.onNews(Peer, NextOffset, Clock_.now());
    if (OnBehind_)
      OnBehind_(NextOffset);
    catchUp();
  });
}

void ConfigSync::catchUp() {
  if (Stopped_)
    return;
  Millis Now = Clock_.now();
  int64_t Next = Config_.current()->nextOffset();
  CatchUp_.onApplied(Next);
  CatchUp_.setSourceLost(SourceLost_ && SourceLost_());
  if (CatchUp_.lacksPeers())
    addPeersAhead();
  for (const std::string &Peer : CatchUp_.takePeers(Now))
    fetch(Peer, Next, false);
  std::optional<Millis> Due = CatchUp_.nextTime();
  if (!Due)
    return;
  CatchUpTimer_.expires_after(toChrono(std::max(*Due - Now, Millis())));
  CatchUpTimer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      catchUp();
  });
}

/// Adds peers that the member table shows to be ahead.
void ConfigSync::addPeersAhead() {
  constexpr size_t MaxAdded = 4;
  int64_t Next = Config_.current()->nextOffset();
  size_t Added = 0;
  auto Members = Gossip_.view();
  for (const auto &MemberEntry : Members->all()) {
    const Member &Peer = MemberEntry->Member_;
    bool Present = Peer.State_ < MemberState::Suspect;
    if (!Present || Peer.ConfigOffset_ <= Next || Peer.Node_ == Node_)
      continue;
    CatchUp_.onNews(Peer.Node_, Peer.ConfigOffset_, Clock_.now());
    if (++Added == MaxAdded)
      return;
  }
}

void ConfigSync::onFetched(const std::string &Peer, bool HadConfig) {
  if (!Config_.hasExternalSource())
    return;
  CatchUp_.onAnswered(Peer, HadConfig);
  catchUp();
}

void ConfigSync::fetch(const std::string &Peer, int64_t From, bool AtStart) {
  wire::ConfigFetch Fetch;
  Fetch.from_offset = From;
  wire::Frame Message;
  Message.__set_config_fetch(Fetch);
  logEvent(LogLevel::Info, "config_peer_asked",
           {{"peer", Peer}, {"next", From}, {"known", Config_.knownOffset()}});
  Peers_.call(Peer, Peers_.reserve(), std::move(Message), {},
              [this, Peer, AtStart, Sent = Clock_.now()](PeerResult Result) {
                asio::dispatch(Strand_, [this, Peer, AtStart, Sent,
                                         Result = std::move(Result)] {
                  ConfigOrigin Origin{Peer, Clock_.now() - Sent};
                  const auto *Answer =
                      std::get_if<std::shared_ptr<const wire::Frame>>(&Result);
                  // A peer that did not answer may be asked again.
                  if (!Answer) {
                    const auto &Lost = std::get<MessageLost>(Result);
                    logEvent(LogLevel::Info, "config_peer_failed",
                             {{"peer", Peer},
                              {"cause", closeCauseName(Lost.Cause_)},
                              {"request_ms", Origin.Waited_.whole()}});
                    QueriedPeers_.erase(Peer);
                    if (AheadPeer_ == Peer)
                      AheadPeer_.clear();
                    return onFetched(Peer, false);
                  }
                  onBatch((*Answer)->config_batch, Origin);
                  if (AtStart)
                    AnsweredPeers_.insert(Peer);
                  onFetched(Peer, !(*Answer)->config_batch.snapshot.empty());
                });
              });
}

void ConfigSync::onBatch(const wire::ConfigBatch &Batch,
                         const ConfigOrigin &Origin) {
  if (!Batch.snapshot.empty())
    Config_.onPeerSnapshot(Batch.snapshot, Origin);
  std::vector<LogRecord> Records;
  for (const wire::ConfigRecord &Record : Batch.records)
    Records.push_back({Record.offset, Record.data});
  if (!Records.empty())
    Config_.onPeerRecords(std::move(Records));
  Config_.onPeerOffset(Batch.next_offset);
}

wire::ConfigBatch ConfigSync::answer(const wire::ConfigFetch &Request) const {
  wire::ConfigBatch Batch;
  Batch.sequence = Request.sequence;
  Batch.next_offset = Config_.current()->nextOffset();
  if (!Config_.hasRecordsFrom(Request.from_offset)) {
    Batch.snapshot = Config_.snapshot();
    return Batch;
  }
  for (const LogRecord &Record :
       Config_.recordsFrom(Request.from_offset, MaxBatchBytes)) {
    wire::ConfigRecord Copy;
    Copy.offset = Record.Offset_;
    Copy.data = Record.Data_;
    Batch.records.push_back(std::move(Copy));
  }
  return Batch;
}

} // namespace coltsfoot
