#include "node.h"

#include "adapters.h"
#include "allowances.h"
#include "api.h"
#include "attempttable.h"
#include "bytebudget.h"
#include "callcounts.h"
#include "callwire.h"
#include "codec.h"
#include "coltsfoot_types.h"
#include "configfollower.h"
#include "configservice.h"
#include "configsync.h"
#include "descriptorplan.h"
#include "drainadmission.h"
#include "drainsequence.h"
#include "entry.h"
#include "entrythreshold.h"
#include "freshnessservice.h"
#include "gate.h"
#include "gossipservice.h"
#include "instancemonitor.h"
#include "isolation.h"
#include "logclient.h"
#include "loopmonitor.h"
#include "memberview.h"
#include "monitoredlog.h"
#include "nodelifecycle.h"
#include "peerpool.h"
#include "peerserver.h"
#include "policy.h"
#include "requestledger.h"
#include "retrybudget.h"
#include "seedregistry.h"
#include "timer.h"

#include "coltsfootpoint/duration.h"
#include "coltsfootpoint/ipport.h"
#include "coltsfootpoint/log.h"
#include "coltsfootpoint/secret.h"
#include "coltsfootpoint/settings.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace coltsfoot {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr int ProtocolVersion = 1;
constexpr Millis TickInterval(50);

tcp::endpoint endpointOf(const std::string &Address, uint16_t Port) {
  return {asio::ip::make_address(Address), Port};
}

tcp::endpoint endpointOf(const std::string &AddressAndPort) {
  IpPort Parsed = parseIpPort(AddressAndPort).value();
  return endpointOf(Parsed.Ip_, Parsed.Port_);
}

/// Prefix of the sealing key where tickets never leave the fleet and therefore
/// need no secret; the fleet's name follows.
constexpr std::string_view InternalKeyPrefix = "coltsfoot internal ticket ";

SealingKeys ticketKeys(const Settings &AllSettings) {
  const SecuritySettings &Security = AllSettings.Security_;
  if (AllSettings.Node_.Interface_ != Interface::Own &&
      Security.TicketKeyFile_.empty())
    return SealingKeys(std::string(InternalKeyPrefix) +
                       AllSettings.Node_.Fleet_);
  std::optional<std::string> Previous;
  if (!Security.PreviousTicketKeyFile_.empty())
    Previous = loadSecret(Security.PreviousTicketKeyFile_).bytes();
  return SealingKeys(std::string(loadSecret(Security.TicketKeyFile_).bytes()),
                     Previous);
}

std::unique_ptr<LogClient> makeLogClient(asio::io_context &Context,
                                         const Settings &All) {
  const LogServiceSettings &LogSettings = All.LogService_;
  if (LogSettings.Address_.empty() || All.Node_.Interface_ != Interface::Own)
    return nullptr;
  IpPort Address = parseIpPort(LogSettings.Address_).value();
  LogClient::Options Options;
  Options.Host_ = Address.Ip_;
  Options.Port_ = Address.Port_;
  Options.RequestTimeout_ = LogSettings.RequestTimeout_;
  return std::make_unique<LogClient>(Context, Options);
}

/// Returns the addresses of the nodes through which this one joins the fleet. A
/// configured common port replaces the port of each.
std::vector<std::string> seedPeers(const MembershipSettings &Membership) {
  std::vector<std::string> Peers = Membership.Peers_;
  if (Membership.PeersPort_ == 0)
    return Peers;
  for (std::string &Each : Peers) {
    IpPort Address = parseIpPort(Each).value();
    Address.Port_ = static_cast<uint16_t>(Membership.PeersPort_);
    Each = Address.text();
  }
  return Peers;
}

RetryBudget::Options budgetOptions(const RetrySettings &Retries) {
  // The rest covers the tokens that were saved when a window begins and the
  // deviations of grants that are drawn at random.
  constexpr double SpentShare = 0.95;
  RetryBudget::Options Options;
  Options.TokensPerRequest_ = SpentShare * Retries.BudgetShare_;
  Options.MaxTokens_ = Retries.BudgetSaved_;
  Options.FleetTokens_ = Retries.BudgetSlack_;
  Options.Window_ = Retries.BudgetWindow_;
  return Options;
}

AllowanceTolerance allowanceTolerance(const TeamSettings &Teams) {
  AllowanceTolerance Tolerance;
  if (!Teams.AllowanceWindow_.empty())
    Tolerance.Window_ = parseDuration(Teams.AllowanceWindow_);
  Tolerance.Overage_ = Teams.AllowanceOverage_;
  return Tolerance;
}

Millis revokeWithin(const TeamSettings &Teams) {
  return Teams.RevokeWithin_.empty() ? Millis()
                                     : parseDuration(Teams.RevokeWithin_);
}

/// Returns the longest time that a drain may take, or nothing if it may last
/// until the last call has ended.
std::optional<Millis> drainLimit(const TimeoutSettings &Timeouts) {
  if (Timeouts.Drain_ == Millis())
    return {};
  return Timeouts.Drain_;
}

InstanceMonitor::Options expectedInstance(const Settings &AllSettings) {
  InstanceMonitor::Options Expected;
  Expected.Lease_ = AllSettings.Timeouts_.Lease_;
  Expected.Service_ = AllSettings.Node_.Service_;
  if (!AllSettings.Node_.Backend_.empty())
    Expected.Backend_ = endpointOf(AllSettings.Node_.Backend_);
  return Expected;
}

/// The two sockets of a node for other nodes, TCP and UDP, which share one port
/// number.
struct PeerSockets {
  std::unique_ptr<PeerServer> Tcp_;
  std::unique_ptr<GossipService> Udp_;
  std::string Name_; ///< The address that the node advertises.
};

/// Returns the size of the largest request body that fits, together with the
/// head, into the send queue of a connection between two nodes.
size_t maxSentBodyBytes() {
  constexpr size_t HeadRoom = size_t{2} * 1024 * 1024;
  return FrameConnection::Options().MaxQueuedBytes_ - HeadRoom;
}

} // namespace

class Node::Impl {
public:
  Impl(asio::io_context &Context, const Settings &AllSettings,
       Adapters InterfaceAdapters);

  void start(std::function<void()> Stopped);
  void drain(std::optional<Millis> KillAfter);
  uint16_t httpPort() const { return Http_->port(); }
  uint16_t peerPort() const { return Sockets_.Tcp_->port(); }
  const std::string &name() const { return Sockets_.Name_; }

private:
  PeerSockets bindPeerSockets(const Settings &AllSettings);
  NodeContext nodeContext() const;
  wire::Hello hello() const;
  FrameConnection::Options connectionOptions() const;
  EntryParts entryParts();
  ApiParts apiParts();
  void startGossip();
  static void sendReply(FrameConnection &To, const wire::Frame &Message);
  void onPeerFrame(uint64_t Connection, const FrameConnection::Pointer &From,
                   const wire::Frame &Message);
  void onLocalFrame(const wire::Frame &Message,
                    const std::function<void(wire::Frame)> &Answer);
  void answerFrame(uint64_t Connection, const wire::Frame &Message,
                   const std::function<void(wire::Frame)> &Answer);
  void onCall(const HttpExchange::Pointer &Exchange);
  void onServing(const std::string &Service, int Slots, bool Leaving);
  Reason notServingReason() const;
  bool takesCalls() const;
  std::unique_ptr<HttpServer> listen(const tcp::endpoint &Address,
                                     bool TakesCalls,
                                     HttpServer::Handler OnRequest);
  int64_t connections() const;
  void showListeners();
  std::vector<HttpServer *> servers() const;
  HttpServer &callServer() const { return Calls_ ? *Calls_ : *Http_; }
  void answerReadiness(const HttpExchange::Pointer &Exchange) const;
  void updateIsolation();
  void scheduleTick();
  void tick();
  void endDrain();
  void stopAll();

  asio::io_context &Context_;
  const Settings Settings_;
  const Adapters Adapters_;
  const SystemClock Clock_;
  const Incarnation Incarnation_;
  const PolicyKind Policy_;
  std::unique_ptr<LogClient> LogClient_;
  MonitoredLog Log_;
  const DescriptorPlan Descriptors_;
  // One for each kind of sender, so that none uses up what another needs.
  const boost::intrusive_ptr<ByteBudget> CallerBudget_;
  const boost::intrusive_ptr<ByteBudget> BackendBudget_;
  const boost::intrusive_ptr<ByteBudget> PeerBudget_;
  /// The answers that callers have not read yet.
  const boost::intrusive_ptr<ByteBudget> AnswerBudget_;
  LoopMonitor Loop_;
  PeerSockets Sockets_;
  PeerPool Peers_;
  ConfigService Config_;
  ConfigSync ConfigSync_;
  SeedRegistry Seeds_;
  Balancer Balancer_;
  EntryThreshold Thresholds_;
  AttemptTable Attempts_;
  CallCounts CallCounts_;
  RequestLedger Ledger_;
  RetryBudget Budget_;
  DrainAdmission EntryDrain_{Clock_};
  DrainAdmission GateDrain_{Clock_};
  TicketIssuer TicketIssuer_;
  Gate Gate_;
  Allowances Allowances_;
  FreshnessService Freshness_;
  Entry Entry_;
  Api Api_;
  std::unique_ptr<HttpServer> Http_;
  // Each is null unless the settings give it an address; without Calls_, Http_
  // handles the calls too.
  std::unique_ptr<HttpServer> Calls_;
  std::unique_ptr<HttpServer> Readiness_;
  std::unique_ptr<HttpServer> Reports_;
  std::unique_ptr<InstanceMonitor> Instances_;
  std::unique_ptr<ConfigFollower> Follower_;

  asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Timer_;
  NodeLifecycle Lifecycle_;
  std::atomic<NodeLifecycle::State> State_ = NodeLifecycle::State::Joining;
  Isolation Isolation_{Settings_.Membership_.Isolation_};
  std::atomic<bool> Isolated_ = false;
  DrainSequence Drain_;
  std::function<void()> Stopped_;
};

Node::Impl::Impl(asio::io_context &Context, const Settings &AllSettings,
                 Adapters InterfaceAdapters)
    : Context_(Context), Settings_(AllSettings),
      Adapters_(std::move(InterfaceAdapters)), Incarnation_(randomBits()),
      Policy_(parsePolicy(policyName(AllSettings.Node_.Policy_))),
      LogClient_(makeLogClient(Context, AllSettings)),
      Log_(LogClient_.get(), Clock_),
      Descriptors_(planDescriptors(AllSettings.Limits_,
                                   availableDescriptors(AllSettings.Limits_))),
      CallerBudget_(new ByteBudget(AllSettings.Limits_.ReceiveBytes_)),
      BackendBudget_(new ByteBudget(AllSettings.Limits_.ReceiveBytes_)),
      PeerBudget_(new ByteBudget(AllSettings.Limits_.ReceiveBytes_)),
      AnswerBudget_(new ByteBudget(AllSettings.Limits_.ReceiveBytes_)),
      Loop_(Context, Clock_), Sockets_(bindPeerSockets(AllSettings)),
      Peers_(Context, connectionOptions(),
             asio::ip::make_address(AllSettings.Node_.Address_), hello()),
      Config_(Context, Log_, Clock_,
              [&] {
                ConfigService::Options Options;
                Options.PollWait_ = AllSettings.LogService_.ReadWait_;
                Options.SnapshotIntervalRecords_ =
                    AllSettings.LogService_.SnapshotEveryRecords_;
                Options.Retention_ = AllSettings.LogService_.Retention_;
                Options.ExternalSource_ = Adapters_.Config_ != nullptr;
                return Options;
              }()),
      ConfigSync_(Context, Config_, *Sockets_.Udp_, Peers_, Sockets_.Name_,
                  AllSettings.Node_.Zone_),
      Seeds_(Context, Log_, *Sockets_.Udp_, Clock_,
             {AllSettings.Node_.Fleet_, Sockets_.Name_, AllSettings.Node_.Zone_,
              AllSettings.Node_.Region_},
             AllSettings.LogService_.Retention_),
      Attempts_(Clock_), Ledger_(Clock_),
      Budget_(budgetOptions(AllSettings.Retries_)),
      TicketIssuer_(nodeContext(), ticketKeys(AllSettings), Balancer_),
      Gate_(Context, nodeContext(), TicketIssuer_, Attempts_, Thresholds_,
            CallCounts_, Ledger_, Policy_,
            {AllSettings.Limits_.Queue_,
             static_cast<size_t>(AllSettings.Limits_.TicketEntries_),
             AllSettings.Limits_.KeptAnswerBytes_, AllSettings.Timeouts_.Lease_,
             AllSettings.Timeouts_.Attempt_,
             AllSettings.Limits_.Slots_ == SlotsMeaning::Exact,
             AllSettings.Limits_.SlotShare_, AllSettings.Limits_.UpstreamIdle_,
             Adapters_.Calls_.get(), &GateDrain_, BackendBudget_}),
      Allowances_(Context, nodeContext(), Peers_,
                  allowanceTolerance(AllSettings.Teams_)),
      Freshness_(Context, nodeContext(), Peers_,
                 {revokeWithin(AllSettings.Teams_),
                  [this] {
                    if (Follower_)
                      Follower_->askNow();
                  }}),
      Entry_(entryParts()), Api_(apiParts()),
      Strand_(asio::make_strand(Context)), Timer_(Strand_),
      Drain_({Gate_, Entry_, Api_, EntryDrain_, GateDrain_, Loop_,
              AllSettings.Timeouts_.DrainNotice_,
              drainLimit(AllSettings.Timeouts_)}) {
  tcp::endpoint HttpAddress =
      endpointOf(AllSettings.Node_.Address_, AllSettings.Node_.HttpPort_);
  bool SeparateCallListener = !AllSettings.Listen_.Calls_.empty();
  Http_ = listen(
      HttpAddress, !SeparateCallListener,
      [this, SeparateCallListener](const HttpExchange::Pointer &Exchange) {
        if (!SeparateCallListener && Entry_.isCall(Exchange->request()))
          onCall(Exchange);
        else
          Api_.handle(Exchange);
      });
  if (SeparateCallListener)
    Calls_ = listen(
        endpointOf(AllSettings.Listen_.Calls_), true,
        [this](const HttpExchange::Pointer &Exchange) { onCall(Exchange); });
  if (!AllSettings.Listen_.Readiness_.empty())
    Readiness_ = listen(endpointOf(AllSettings.Listen_.Readiness_), false,
                        [this](const HttpExchange::Pointer &Exchange) {
                          answerReadiness(Exchange);
                        });
  if (Adapters_.Config_)
    Follower_ = std::make_unique<ConfigFollower>(
        Context, *Adapters_.Config_, Config_, Clock_,
        ConfigFollower::Options{{AllSettings.LogService_.ReadWait_,
                                 AllSettings.LogService_.FollowWait_},
                                ConfigFollower::DefaultMaxDamaged,
                                [this](Millis AsOf, int64_t Newest) {
                                  Freshness_.onSource(AsOf, Newest);
                                }});
  if (!Adapters_.Reports_ || AllSettings.Listen_.Reports_.empty())
    return;
  Instances_ = std::make_unique<InstanceMonitor>(Context, nodeContext(),
                                                 *Adapters_.Reports_, Gate_,
                                                 expectedInstance(AllSettings));
  Reports_ = listen(endpointOf(AllSettings.Listen_.Reports_), false,
                    [this](const HttpExchange::Pointer &Exchange) {
                      Instances_->processReport(Exchange);
                    });
}

std::unique_ptr<HttpServer> Node::Impl::listen(const tcp::endpoint &Address,
                                               bool TakesCalls,
                                               HttpServer::Handler OnRequest) {
  const LimitSettings &ConfiguredLimits = Settings_.Limits_;
  HttpServer::Options Limits;
  Limits.HeaderBytes_ = ConfiguredLimits.HeaderBytes_;
  Limits.BodyBytes_ = std::min(ConfiguredLimits.BodyBytes_, maxSentBodyBytes());
  Limits.AnswerBudget_ = AnswerBudget_;
  Limits.Callers_ =
      TakesCalls ? Descriptors_.Callers_ : Descriptors_.OtherCallers_;
  Limits.KeptCallers_ =
      TakesCalls ? Descriptors_.KeptCallers_ : Descriptors_.OtherCallers_;
  Limits.IdleTimeout_ = ConfiguredLimits.CallerIdle_;
  Limits.ReceiveTimeout_ = ConfiguredLimits.HeaderTimeout_;
  Limits.Budget_ = CallerBudget_;
  return std::make_unique<HttpServer>(Context_, Address, Limits,
                                      std::move(OnRequest));
}

int64_t Node::Impl::connections() const {
  int64_t Sum = 0;
  for (HttpServer *Each : servers())
    Sum += static_cast<int64_t>(Each->figures().Connections_);
  return Sum;
}

void Node::Impl::showListeners() {
  Api_.showListener("http", *Http_);
  if (Calls_)
    Api_.showListener("calls", *Calls_);
  if (Readiness_)
    Api_.showListener("readiness", *Readiness_);
  if (Reports_)
    Api_.showListener("reports", *Reports_);
}

std::vector<HttpServer *> Node::Impl::servers() const {
  std::vector<HttpServer *> All;
  for (const auto *Each : {&Http_, &Calls_, &Readiness_, &Reports_})
    if (*Each)
      All.push_back(Each->get());
  return All;
}

bool Node::Impl::takesCalls() const {
  return State_ == NodeLifecycle::State::Serving &&
         notServingReason() == Reason::None;
}

void Node::Impl::answerReadiness(const HttpExchange::Pointer &Exchange) const {
  Exchange->respond(Answer{takesCalls() ? 200 : 503, {}, ""});
}

// TCP and UDP use one port number, so that one address identifies a node. If
// the system picked a TCP port whose UDP counterpart is taken, another is
// tried.
PeerSockets Node::Impl::bindPeerSockets(const Settings &AllSettings) {
  constexpr int MaxTries = 20;
  for (int Try = 1;; ++Try) {
    PeerSockets Sockets;
    Sockets.Tcp_ = std::make_unique<PeerServer>(
        Context_,
        endpointOf(AllSettings.Node_.Address_, AllSettings.Node_.PeerPort_));
    std::string Address =
        AllSettings.Node_.Address_ + ":" + std::to_string(Sockets.Tcp_->port());
    Sockets.Name_ = AllSettings.Node_.Advertise_.empty()
                        ? Address
                        : AllSettings.Node_.Advertise_;
    Member Self;
    Self.Node_ = Sockets.Name_;
    Self.Incarnation_ = Incarnation_;
    Self.Generation_ = Clock_.wallNow().whole();
    Self.Zone_ = AllSettings.Node_.Zone_;
    Self.Region_ = AllSettings.Node_.Region_;
    GossipOptions Options;
    Options.Fleet_ = AllSettings.Node_.Fleet_;
    Options.ProbeInterval_ = AllSettings.Membership_.ProbeInterval_;
    Options.ProbeTimeout_ = AllSettings.Membership_.ProbeTimeout_;
    Options.SuspicionTime_ = AllSettings.Membership_.Suspicion_;
    Options.SpreadInterval_ = AllSettings.Membership_.SpreadInterval_;
    Options.DigestInterval_ = AllSettings.Membership_.DigestInterval_;
    Options.AnnouncesConfig_ = Adapters_.Config_ != nullptr;
    Options.Peers_ = seedPeers(AllSettings.Membership_);
    try {
      Sockets.Udp_ = std::make_unique<GossipService>(
          Context_, Clock_, Options, Self, Address, randomBits());
      return Sockets;
    } catch (const boost::system::system_error &) {
      if (AllSettings.Node_.PeerPort_ != 0 || Try == MaxTries)
        throw;
    }
  }
}

NodeContext Node::Impl::nodeContext() const {
  NodeContext ThisNode;
  ThisNode.Clock_ = &Clock_;
  ThisNode.Node_ = Sockets_.Name_;
  ThisNode.Incarnation_ = Incarnation_;
  ThisNode.Zone_ = Settings_.Node_.Zone_;
  ThisNode.Region_ = Settings_.Node_.Region_;
  ThisNode.Config_ = [this] { return Config_.current(); };
  ThisNode.Members_ = [this] { return Sockets_.Udp_->view(); };
  ThisNode.Doubted_ = [this] { return Peers_.doubtful(); };
  ThisNode.Lag_ = [this] { return Loop_.recentLag(); };
  return ThisNode;
}

wire::Hello Node::Impl::hello() const {
  wire::Hello Greeting;
  Greeting.version = ProtocolVersion;
  Greeting.node = Sockets_.Name_;
  Greeting.incarnation = static_cast<int64_t>(Incarnation_);
  Greeting.zone = Settings_.Node_.Zone_;
  return Greeting;
}

FrameConnection::Options Node::Impl::connectionOptions() const {
  FrameConnection::Options Options;
  Options.Connect_ = Settings_.Timeouts_.Connect_;
  Options.Heartbeat_ = Settings_.Timeouts_.Heartbeat_;
  Options.Silent_ = Settings_.Timeouts_.Silent_;
  Options.MaxFrameBytes_ =
      2 * (Settings_.Limits_.BodyBytes_ + Settings_.Limits_.HeaderBytes_) +
      size_t{8} * 1024 * 1024;
  Options.Budget_ = PeerBudget_;
  return Options;
}

EntryParts Node::Impl::entryParts() {
  return EntryParts{
      Context_,
      nodeContext(),
      TicketIssuer_,
      Balancer_,
      Thresholds_,
      Attempts_,
      CallCounts_,
      Peers_,
      Ledger_,
      Policy_,
      Budget_,
      EntryDrain_,
      Allowances_,
      Adapters_.Calls_.get(),
      [this] {
        const std::string &Configured = Settings_.Node_.Service_;
        return Configured.empty() ? Gate_.service() : Configured;
      },
      [this] { return notServingReason(); },
      [this](const CallRecord &Record) { Api_.record(Record); },
      [this](const RetryRecord &Record) { Api_.recordRetry(Record); },
      [this] {
        return Config_.knownOffset() > Config_.current()->nextOffset();
      },
      [this] { return Freshness_.keysVerified(); }};
}

ApiParts Node::Impl::apiParts() {
  ApiParts Parts{Context_,
                 Clock_,
                 Config_,
                 Peers_,
                 Gate_,
                 Entry_,
                 Ledger_,
                 *Sockets_.Udp_,
                 EntryDrain_,
                 GateDrain_,
                 *CallerBudget_,
                 *BackendBudget_,
                 *PeerBudget_,
                 Loop_,
                 Allowances_,
                 Freshness_,
                 {},
                 {},
                 {},
                 {},
                 {}};
  Parts.Node_ = Sockets_.Name_;
  // Where an external source supplies the configuration, the token is optional;
  // without it no request is accepted as an operator's.
  const std::string &TokenFile = Settings_.Security_.OperatorTokenFile_;
  if (!TokenFile.empty() || !Adapters_.Config_)
    Parts.OperatorToken_ = loadSecret(TokenFile);
  Parts.State_ = [this] { return std::string(nodeStateName(State_)); };
  Parts.Drain_ = [this] { drain({}); };
  Parts.Isolated_ = [this] { return Isolated_.load(); };
  return Parts;
}

void Node::Impl::start(std::function<void()> Stopped) {
  Stopped_ = std::move(Stopped);
  Peers_.setLocalHandler(
      [this](const wire::Frame &Message,
             const std::function<void(wire::Frame)> &Answer) {
        onLocalFrame(Message, Answer);
      });
  PeerServer::Handlers Handlers;
  Handlers.OnFrame_ = [this](uint64_t Connection, FrameConnection::Pointer From,
                             wire::Frame &&Message) {
    onPeerFrame(Connection, From, Message);
  };
  Handlers.OnClosed_ = [this](uint64_t Connection) {
    Gate_.connectionClosed(Connection);
  };
  Sockets_.Tcp_->start(connectionOptions(), hello(), std::move(Handlers));
  if (Follower_) {
    ConfigSync_.SourceLost_ = [this] { return Follower_->sourceLost(); };
    ConfigSync_.OnBehind_ = [this](int64_t Version) {
      Follower_->onNewerKnown(Version);
    };
  }
  startGossip();
  ConfigSync_.start();
  Config_.start();
  if (Follower_) {
    Follower_->start();
    Freshness_.start();
  }
  if (Instances_)
    Instances_->discover();
  if (LogClient_)
    Seeds_.start();
  Gate_.start([this](const std::string &Service, int Slots, bool Leaving) {
    onServing(Service, Slots, Leaving);
  });
  showListeners();
  for (HttpServer *Each : servers())
    Each->start();
  Loop_.start({[this](Millis Lag) { Api_.recordLag(Lag); },
               [this] { return connections(); }});
  asio::post(Strand_, [this] { scheduleTick(); });
}

void Node::Impl::startGossip() {
  GossipCallbacks Callbacks;
  Callbacks.OnMemberChange_ = [this](const MemberChange &Change) {
    logEvent(LogLevel::Info, "member",
             {{"node", Change.New_.Node_},
              {"state", memberStateName(Change.New_.State_)},
              {"service", Change.New_.Service_},
              {"zone", Change.New_.Zone_}});
    if (Change.New_.State_ == MemberState::Alive)
      Balancer_.onServing({Change.New_.Node_, Change.New_.Incarnation_});
    if (Change.New_.State_ == MemberState::Dead)
      Balancer_.forget({Change.New_.Node_, Change.New_.Incarnation_});
  };
  Callbacks.OnRecords_ = [this](const std::vector<GossipRecord> &Records) {
    std::vector<LogRecord> Copies;
    Copies.reserve(Records.size());
    for (const GossipRecord &Record : Records)
      Copies.push_back({Record.Offset_, Record.Data_});
    Config_.onPeerRecords(std::move(Copies));
  };
  Callbacks.OnPeerAhead_ = [this](const PeerAhead &Ahead) {
    ConfigSync_.onPeerAhead(Ahead.Node_, Ahead.Offset_);
  };
  Sockets_.Udp_->start(std::move(Callbacks));
}

void Node::Impl::onServing(const std::string &Service, int Slots,
                           bool Leaving) {
  Sockets_.Udp_->updateSelf(Service, Slots);
  if (Leaving)
    Sockets_.Udp_->setLeaving();
  else
    Sockets_.Udp_->setAlive();
}

// An answer that finds no room on the connection is left out, so that the other
// calls on it go on.
void Node::Impl::sendReply(FrameConnection &To, const wire::Frame &Message) {
  std::string Bytes;
  appendFrame(Bytes, Message);
  auto Refused = To.trySendEncoded(Bytes);
  bool NoRoom =
      Refused == CloseCause::Overflow || Refused == CloseCause::TooLarge;
  if (!NoRoom)
    return;
  logEvent(LogLevel::Warning, "answer_not_sent",
           {{"bytes", Bytes.size()}, {"cause", closeCauseName(*Refused)}});
  wire::Frame WithoutAnswer = Message;
  WithoutAnswer.reply.fields.clear();
  WithoutAnswer.reply.body.clear();
  setOutcome(WithoutAnswer.reply, MayHaveRun{Reason::AnswerNotKept});
  To.send(WithoutAnswer);
}

void Node::Impl::onPeerFrame(uint64_t Connection,
                             const FrameConnection::Pointer &From,
                             const wire::Frame &Message) {
  if (Message.__isset.offer)
    Loop_.countCall();
  answerFrame(Connection, Message, [From](const wire::Frame &Answer) {
    if (Answer.__isset.reply)
      sendReply(*From, Answer);
    else
      From->send(Answer);
  });
}

void Node::Impl::onLocalFrame(const wire::Frame &Message,
                              const std::function<void(wire::Frame)> &Answer) {
  answerFrame(0, Message, Answer);
}

void Node::Impl::answerFrame(uint64_t Connection, const wire::Frame &Message,
                             const std::function<void(wire::Frame)> &Answer) {
  auto Reply = [Answer](wire::Reply Result) {
    wire::Frame Out;
    Out.__set_reply(Result);
    Answer(std::move(Out));
  };
  if (Message.__isset.offer) {
    Gate_.offer(Connection, Message.offer, Reply);
  } else if (Message.__isset.inquiry) {
    Gate_.inquire(Message.inquiry, Reply);
  } else if (Message.__isset.cancel) {
    Gate_.cancel(Connection, Message.cancel.attempt);
  } else if (Message.__isset.config_fetch) {
    wire::Frame Out;
    Out.__set_config_batch(ConfigSync_.answer(Message.config_fetch));
    Answer(std::move(Out));
  } else if (Message.__isset.status_fetch) {
    wire::StatusBatch Batch;
    Batch.sequence = Message.status_fetch.sequence;
    Batch.json = Api_.localStatus(Message.status_fetch.what,
                                  Message.status_fetch.argument);
    wire::Frame Out;
    Out.__set_status_batch(Batch);
    Answer(std::move(Out));
  } else if (Message.__isset.freshness_fetch) {
    wire::Frame Out;
    Out.__set_freshness_batch(Freshness_.answer(Message.freshness_fetch));
    Answer(std::move(Out));
  } else if (Message.__isset.allowance_ask) {
    wire::Frame Out;
    Out.__set_allowance_grant(Allowances_.answer(Message.allowance_ask));
    Answer(std::move(Out));
  }
}

void Node::Impl::onCall(const HttpExchange::Pointer &Exchange) {
  Loop_.countCall();
  Entry_.handle(Exchange);
}

// A node without a configuration must not decide on calls. One that has lost
// the log and every peer can't know whether its configuration is still in
// force.
Reason Node::Impl::notServingReason() const {
  if (!Config_.ready())
    return Reason::NotReady;
  return Isolated_ ? Reason::Isolated : Reason::None;
}

void Node::Impl::updateIsolation() {
  Millis Silence = std::min(Log_.silence(), Sockets_.Udp_->status().Silence_);
  bool NowIsolated = Isolation_.update(Clock_.now(), Silence);
  if (Isolated_.exchange(NowIsolated) == NowIsolated)
    return;
  logEvent(LogLevel::Warning, NowIsolated ? "isolated" : "isolation_ended",
           {{"log_silence_ms", Log_.silence().count()}});
}

void Node::Impl::scheduleTick() {
  Timer_.expires_after(toChrono(TickInterval));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      tick();
  });
}

// The next tick is scheduled first, so that an exception does not end the
// ticks: a drain would never end without them.
void Node::Impl::tick() {
  scheduleTick();
  flushLog();
  updateIsolation();
  if (Config_.current()->hasTeams())
    Allowances_.tick();
  Budget_.setFleetSize(Sockets_.Udp_->view()->presentCount());
  if (Config_.ready() && Lifecycle_.startServing()) {
    State_ = Lifecycle_.state();
    logEvent(LogLevel::Info, "serving",
             {{"node", Sockets_.Name_},
              {"config_offset", Config_.current()->nextOffset()}});
  }
  if (Lifecycle_.state() == NodeLifecycle::State::Draining &&
      Drain_.advance(Clock_.now()))
    endDrain();
}

void Node::Impl::drain(std::optional<Millis> KillAfter) {
  Millis Asked = Clock_.now();
  asio::dispatch(Strand_, [this, KillAfter, Asked] {
    if (Lifecycle_.drain()) {
      State_ = Lifecycle_.state();
      Drain_.begin(Sockets_.Name_, callServer(), Asked);
    }
    if (KillAfter)
      Drain_.expectKill(Asked + *KillAfter);
  });
}

void Node::Impl::endDrain() {
  Lifecycle_.stop();
  State_ = Lifecycle_.state();
  Timer_.cancel();
  stopAll();
}

void Node::Impl::stopAll() {
  for (HttpServer *Each : servers())
    Each->stop();
  Loop_.stop();
  if (Follower_)
    Follower_->stop();
  Gate_.stop();
  Allowances_.stop();
  Freshness_.stop();
  Seeds_.stop();
  ConfigSync_.stop();
  Config_.stop();
  Sockets_.Udp_->stop();
  Sockets_.Tcp_->stop();
  Peers_.close();
  Stopped_();
}

Node::Node(asio::io_context &Context, const Settings &AllSettings,
           Adapters InterfaceAdapters)
    : Impl_(std::make_unique<Impl>(Context, AllSettings,
                                   std::move(InterfaceAdapters))) {}

Node::~Node() = default;

void Node::start(std::function<void()> Stopped) {
  Impl_->start(std::move(Stopped));
}
void Node::drain(std::optional<Millis> KillAfter) { Impl_->drain(KillAfter); }
uint16_t Node::httpPort() const { return Impl_->httpPort(); }
uint16_t Node::peerPort() const { return Impl_->peerPort(); }
const std::string &Node::name() const { return Impl_->name(); }

} // namespace coltsfoot
