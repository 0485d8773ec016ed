#include "faultproxy.h"

#include "portpair.h"
#include "runin.h"

#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <thread>
#include <vector>

namespace coltsfoot {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr size_t ChunkBytes = 64 * 1024;
/// Reading from a peer pauses while more bytes than this wait to be written.
constexpr size_t MaxQueuedBytes = 4 * 1024 * 1024;

/// Index of a direction in the arrays of this file.
enum DirectionIndex : size_t { ToTargetIndex = 0, FromTargetIndex = 1 };

bool covers(Direction Way, DirectionIndex Index) {
  return Way == Direction::Both ||
         (Way == Direction::ToTarget) == (Index == ToTargetIndex);
}

/// The faults of one direction: of one connection, of all new connections or of
/// all datagrams.
struct DirectionFaults {
  double DelayMs_ = 0;
  bool Blackhole_ = false;
  std::optional<uint64_t> DisconnectAfterBytes_;
};

using Faults = std::array<DirectionFaults, 2>;

std::chrono::steady_clock::time_point after(double Ms) {
  return std::chrono::steady_clock::now() +
         std::chrono::duration_cast<std::chrono::steady_clock::duration>(
             std::chrono::duration<double, std::milli>(Ms));
}

void reset(tcp::socket &Socket) {
  error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

class FaultProxy::Impl {
public:
  explicit Impl(const std::string &Ip);
  ~Impl();

  /// Runs a function on the proxy's thread and returns its result.
  template <typename F> auto run(F Function) {
    return runIn(Io_, std::move(Function));
  }

  /// Applies a change to the faults of the connections in the set, and to those
  /// of datagrams if the set is All.
  void change(ConnectionSet Set, const std::function<void(Faults &)> &Change);
  void disconnectExisting();
  void clearFaults();
  bool affects(const std::string &SourceIp) const {
    return AffectedSources_.empty() || AffectedSources_.count(SourceIp) != 0;
  }

  struct Connection;
  struct UdpFlow;

  void acceptNext();
  void startConnection(tcp::socket Caller, const std::string &SourceIp);
  void receiveNext();
  void onDatagram(std::string_view Bytes);
  void receiveReply(const std::shared_ptr<UdpFlow> &UdpFlow);
  void passDatagram(DirectionIndex Index, const std::string &SourceIp,
                    std::string_view Bytes,
                    std::function<void(const std::string &)> Send);

  asio::io_context Io_;
  asio::ip::address Address_;
  tcp::acceptor Acceptor_{Io_};
  udp::socket Datagrams_{Io_};
  uint16_t Port_ = 0;
  std::optional<asio::ip::address> TargetIp_;
  uint16_t TargetPort_ = 0;
  Faults NewConnectionFaults_;
  Faults DatagramFaults_;
  bool RefuseNew_ = false;
  std::set<std::string> AffectedSources_;
  bool Duplicate_ = false;
  double DropShare_ = 0;
  std::mt19937_64 Random_;
  std::list<std::shared_ptr<Connection>> Connections_;
  std::map<udp::endpoint, std::shared_ptr<UdpFlow>> UdpFlows_;
  std::array<char, ChunkBytes> Datagram_{};
  udp::endpoint DatagramSource_;
  uint64_t Accepted_ = 0;
  std::array<uint64_t, 2> PassedBytes_{};
  uint64_t PassedDatagrams_ = 0;
  std::thread Thread_;
};

/// One TCP connection through the proxy: two sockets and, for each direction,
/// the queue of bytes that were read but not yet written.
struct FaultProxy::Impl::Connection
    : public std::enable_shared_from_this<FaultProxy::Impl::Connection> {
  /// Bytes that are written at the same time. An empty chunk marks that the
  /// sender has closed its side.
  struct Chunk {
    std::chrono::steady_clock::time_point WriteTime_;
    std::string Bytes_;
  };
  struct DirectionState {
    explicit DirectionState(asio::io_context &Io) : Timer_(Io) {}
    std::array<char, ChunkBytes> Buffer_{};
    std::deque<Chunk> Queue_;
    size_t QueuedBytes_ = 0;
    bool Reading_ = false;
    bool Writing_ = false;
    bool LostBytes_ = false;
    /// The sender has closed its side; nothing more is read.
    bool SourceClosed_ = false;
    /// The sender's close has been passed on.
    bool ClosePassedOn_ = false;
    asio::steady_timer Timer_;
  };

  Connection(Impl &Owner, tcp::socket Caller, std::string SourceIp)
      : Owner_(Owner),
        SourceIp_(std::move(SourceIp)), Sockets_{std::move(Caller),
                                                 tcp::socket(Owner.Io_)},
        Directions_{DirectionState(Owner.Io_), DirectionState(Owner.Io_)} {}

  tcp::socket &source(DirectionIndex Index) { return Sockets_[Index]; }
  tcp::socket &sink(DirectionIndex Index) { return Sockets_[1 - Index]; }

  const DirectionFaults &faults(DirectionIndex Index) const {
    static const DirectionFaults None;
    return Owner_.affects(SourceIp_) ? Faults_[Index] : None;
  }

  void connect(const tcp::endpoint &Target) {
    error_code Error;
    tcp::socket &Out = Sockets_[1];
    Out.open(Target.protocol(), Error);
    if (!Error)
      Out.bind(tcp::endpoint(Owner_.Address_, 0), Error);
    if (Error)
      return disconnect();
    Out.async_connect(Target, [Self = shared_from_this()](error_code Failed) {
      if (Self->Disconnected_)
        return;
      if (Failed)
        return Self->disconnect();
      for (tcp::socket &Socket : Self->Sockets_)
        Socket.set_option(tcp::no_delay(true), Failed);
      Self->readNext(ToTargetIndex);
      Self->readNext(FromTargetIndex);
    });
  }

  void readNext(DirectionIndex Index) {
    DirectionState &State = Directions_[Index];
    bool Wanted = !State.Reading_ && !State.SourceClosed_;
    if (Disconnected_ || !Wanted || State.QueuedBytes_ > MaxQueuedBytes)
      return;
    State.Reading_ = true;
    source(Index).async_read_some(
        asio::buffer(State.Buffer_),
        [Self = shared_from_this(), Index](error_code Error, size_t Size) {
          Self->Directions_[Index].Reading_ = false;
          if (!Self->Disconnected_)
            Self->onRead(Index, Error, Size);
        });
  }

  void onRead(DirectionIndex Index, error_code Error, size_t Size) {
    DirectionState &State = Directions_[Index];
    const DirectionFaults &ActiveFaults = faults(Index);
    State.SourceClosed_ = bool(Error);
    // A close is discarded as well, so that the other end does not learn of it,
    // as behind a middlebox that has lost the state of the connection.
    if (ActiveFaults.Blackhole_) {
      State.LostBytes_ = true;
      readNext(Index);
      return;
    }
    if (Error && Error != asio::error::eof)
      return disconnect();
    queue(Index, std::string(State.Buffer_.data(), Size));
    readNext(Index);
  }

  void queue(DirectionIndex Index, std::string Bytes) {
    DirectionState &State = Directions_[Index];
    State.QueuedBytes_ += Bytes.size();
    State.Queue_.push_back({after(faults(Index).DelayMs_), std::move(Bytes)});
    writeNext(Index);
  }

  void writeNext(DirectionIndex Index) {
    DirectionState &State = Directions_[Index];
    if (Disconnected_ || State.Writing_ || State.Queue_.empty())
      return;
    State.Writing_ = true;
    if (State.Queue_.front().WriteTime_ <= std::chrono::steady_clock::now())
      return writeFront(Index);
    State.Timer_.expires_at(State.Queue_.front().WriteTime_);
    State.Timer_.async_wait([Self = shared_from_this(), Index](error_code) {
      if (!Self->Disconnected_)
        Self->writeFront(Index);
    });
  }

  void writeFront(DirectionIndex Index) {
    DirectionState &State = Directions_[Index];
    std::string &Bytes = State.Queue_.front().Bytes_;
    // Bytes that were already queued when the fault was set are lost as well.
    if (faults(Index).Blackhole_) {
      State.LostBytes_ = true;
      return finishFront(Index);
    }
    if (Bytes.empty()) {
      error_code Ignored;
      sink(Index).shutdown(tcp::socket::shutdown_send, Ignored);
      State.ClosePassedOn_ = true;
      return finishFront(Index);
    }
    size_t Size = Bytes.size();
    std::optional<uint64_t> BytesLeft = faults(Index).DisconnectAfterBytes_;
    bool ReachesLimit = BytesLeft && *BytesLeft < Size;
    if (ReachesLimit)
      Size = static_cast<size_t>(*BytesLeft);
    asio::async_write(sink(Index), asio::buffer(Bytes.data(), Size),
                      [Self = shared_from_this(), Index,
                       ReachesLimit](error_code Error, size_t Written) {
                        if (Self->Disconnected_)
                          return;
                        Self->countPassed(Index, Written);
                        if (Error || ReachesLimit)
                          return Self->disconnect();
                        Self->finishFront(Index);
                      });
  }

  void countPassed(DirectionIndex Index, size_t Written) {
    Owner_.PassedBytes_[Index] += Written;
    std::optional<uint64_t> &BytesLeft = Faults_[Index].DisconnectAfterBytes_;
    if (BytesLeft)
      *BytesLeft -= std::min<uint64_t>(*BytesLeft, Written);
  }

  void finishFront(DirectionIndex Index) {
    DirectionState &State = Directions_[Index];
    State.QueuedBytes_ -= State.Queue_.front().Bytes_.size();
    State.Queue_.pop_front();
    State.Writing_ = false;
    if (Directions_[0].ClosePassedOn_ && Directions_[1].ClosePassedOn_)
      return disconnect();
    writeNext(Index);
    readNext(Index);
  }

  bool lostBytes() const {
    return Directions_[0].LostBytes_ || Directions_[1].LostBytes_;
  }

  void disconnect() {
    if (Disconnected_)
      return;
    auto Self = shared_from_this();
    Disconnected_ = true;
    for (DirectionState &State : Directions_)
      State.Timer_.cancel();
    for (tcp::socket &Socket : Sockets_)
      reset(Socket);
    Owner_.Connections_.remove(Self);
  }

  Impl &Owner_;
  std::string SourceIp_;
  Faults Faults_;
  bool Disconnected_ = false;
  std::array<tcp::socket, 2> Sockets_;
  std::array<DirectionState, 2> Directions_;
};

/// The socket that sends the datagrams of one source to the target and receives
/// the replies to them.
struct FaultProxy::Impl::UdpFlow {
  explicit UdpFlow(Impl &Owner, udp::endpoint Source)
      : Source_(std::move(Source)),
        Socket_(Owner.Io_, udp::endpoint(Owner.Address_, 0)) {}
  udp::endpoint Source_;
  udp::socket Socket_;
  udp::endpoint Sender_;
  std::array<char, ChunkBytes> Buffer_{};
};

FaultProxy::Impl::Impl(const std::string &Ip)
    : Address_(asio::ip::make_address(Ip)) {
  PortPair Bound = PortPair::bind(Io_, Address_);
  Acceptor_ = std::move(Bound.Tcp_);
  Datagrams_ = std::move(Bound.Udp_);
  Port_ = Acceptor_.local_endpoint().port();
  acceptNext();
  receiveNext();
  Thread_ = std::thread([this] { Io_.run(); });
}

FaultProxy::Impl::~Impl() {
  Io_.stop();
  Thread_.join();
}

void FaultProxy::Impl::acceptNext() {
  Acceptor_.async_accept([this](error_code Error, tcp::socket Caller) {
    if (!Error) {
      error_code EndpointError;
      auto Source = Caller.remote_endpoint(EndpointError);
      if (!EndpointError)
        startConnection(std::move(Caller), Source.address().to_string());
    }
    acceptNext();
  });
}

void FaultProxy::Impl::startConnection(tcp::socket Caller,
                                       const std::string &SourceIp) {
  ++Accepted_;
  if (!TargetIp_ || (RefuseNew_ && affects(SourceIp)))
    return reset(Caller);
  auto NewConnection =
      std::make_shared<Connection>(*this, std::move(Caller), SourceIp);
  NewConnection->Faults_ = NewConnectionFaults_;
  Connections_.push_back(NewConnection);
  NewConnection->connect(tcp::endpoint(*TargetIp_, TargetPort_));
}

void FaultProxy::Impl::receiveNext() {
  Datagrams_.async_receive_from(
      asio::buffer(Datagram_), DatagramSource_,
      [this](error_code Error, size_t Size) {
        if (!Error && TargetIp_)
          onDatagram(std::string_view(Datagram_.data(), Size));
        receiveNext();
      });
}

void FaultProxy::Impl::onDatagram(std::string_view Bytes) {
  std::shared_ptr<UdpFlow> &Found = UdpFlows_[DatagramSource_];
  if (!Found) {
    Found = std::make_shared<UdpFlow>(*this, DatagramSource_);
    receiveReply(Found);
  }
  passDatagram(ToTargetIndex, DatagramSource_.address().to_string(), Bytes,
               [this, Flow = Found](const std::string &Copy) {
                 error_code Ignored;
                 Flow->Socket_.send_to(asio::buffer(Copy),
                                       udp::endpoint(*TargetIp_, TargetPort_),
                                       0, Ignored);
               });
}

void FaultProxy::Impl::receiveReply(const std::shared_ptr<UdpFlow> &Flow) {
  Flow->Socket_.async_receive_from(
      asio::buffer(Flow->Buffer_), Flow->Sender_,
      [this, Flow](error_code Error, size_t Size) {
        if (!Error)
          passDatagram(FromTargetIndex, Flow->Source_.address().to_string(),
                       std::string_view(Flow->Buffer_.data(), Size),
                       [this, Flow](const std::string &Copy) {
                         error_code Ignored;
                         Datagrams_.send_to(asio::buffer(Copy), Flow->Source_,
                                            0, Ignored);
                       });
        receiveReply(Flow);
      });
}

void FaultProxy::Impl::passDatagram(
    DirectionIndex Index, const std::string &SourceIp, std::string_view Bytes,
    std::function<void(const std::string &)> Send) {
  bool Affected = affects(SourceIp);
  DirectionFaults ActiveFaults =
      Affected ? DatagramFaults_[Index] : DirectionFaults();
  bool Dropped =
      Affected && DropShare_ > 0 &&
      std::uniform_real_distribution<double>(0, 1)(Random_) < DropShare_;
  if (ActiveFaults.Blackhole_ || Dropped)
    return;
  int Copies = Affected && Duplicate_ ? 2 : 1;
  auto Pass = [this, Copies, Send = std::move(Send),
               Copy = std::string(Bytes)] {
    for (int I = 0; I < Copies; ++I)
      Send(Copy);
    PassedDatagrams_ += Copies;
  };
  if (ActiveFaults.DelayMs_ <= 0)
    return Pass();
  auto Timer =
      std::make_shared<asio::steady_timer>(Io_, after(ActiveFaults.DelayMs_));
  Timer->async_wait([Timer, Pass = std::move(Pass)](error_code) { Pass(); });
}

void FaultProxy::Impl::change(ConnectionSet Set,
                              const std::function<void(Faults &)> &Change) {
  if (Set != ConnectionSet::New)
    for (const std::shared_ptr<Connection> &Open : Connections_)
      Change(Open->Faults_);
  if (Set != ConnectionSet::Existing)
    Change(NewConnectionFaults_);
  if (Set == ConnectionSet::All)
    Change(DatagramFaults_);
}

void FaultProxy::Impl::disconnectExisting() {
  auto Open = Connections_;
  for (const std::shared_ptr<Connection> &Each : Open)
    if (affects(Each->SourceIp_))
      Each->disconnect();
}

void FaultProxy::Impl::clearFaults() {
  auto Open = Connections_;
  for (const std::shared_ptr<Connection> &Each : Open) {
    Each->Faults_ = Faults();
    if (Each->lostBytes())
      Each->disconnect();
  }
  NewConnectionFaults_ = Faults();
  DatagramFaults_ = Faults();
  RefuseNew_ = false;
  AffectedSources_.clear();
  Duplicate_ = false;
  DropShare_ = 0;
}

FaultProxy::FaultProxy(const std::string &Ip)
    : Impl_(std::make_unique<Impl>(Ip)) {}

FaultProxy::~FaultProxy() = default;

uint16_t FaultProxy::port() const { return Impl_->Port_; }

std::string FaultProxy::address() const {
  return Impl_->Address_.to_string() + ":" + std::to_string(port());
}

void FaultProxy::setTarget(const std::string &Ip, uint16_t Port) {
  Impl_->run([&] {
    Impl_->TargetIp_ = asio::ip::make_address(Ip);
    Impl_->TargetPort_ = Port;
  });
}

void FaultProxy::delay(Millis Time, Direction Way, ConnectionSet Set) {
  Impl_->run([&] {
    Impl_->change(Set, [&](Faults &Changed) {
      for (DirectionIndex Index : {ToTargetIndex, FromTargetIndex})
        if (covers(Way, Index))
          Changed[Index].DelayMs_ = Time.count();
    });
  });
}

void FaultProxy::blackhole(Direction Way, ConnectionSet Set) {
  Impl_->run([&] {
    Impl_->change(Set, [&](Faults &Changed) {
      for (DirectionIndex Index : {ToTargetIndex, FromTargetIndex})
        if (covers(Way, Index))
          Changed[Index].Blackhole_ = true;
    });
  });
}

void FaultProxy::disconnect(ConnectionSet Set) {
  Impl_->run([&] {
    if (Set != ConnectionSet::New)
      Impl_->disconnectExisting();
    if (Set != ConnectionSet::Existing)
      Impl_->RefuseNew_ = true;
  });
}

void FaultProxy::disconnectAfterBytes(Direction Way, uint64_t Count,
                                      ConnectionSet Set) {
  Impl_->run([&] {
    Impl_->change(Set, [&](Faults &Changed) {
      for (DirectionIndex Index : {ToTargetIndex, FromTargetIndex})
        if (covers(Way, Index))
          Changed[Index].DisconnectAfterBytes_ = Count;
    });
  });
}

void FaultProxy::refuseNew(bool Refuse) {
  Impl_->run([&] { Impl_->RefuseNew_ = Refuse; });
}

void FaultProxy::sendToPeers(const std::string &Bytes) {
  Impl_->run([&] {
    auto Open = Impl_->Connections_;
    for (const auto &Each : Open)
      if (Impl_->affects(Each->SourceIp_))
        Each->queue(FromTargetIndex, Bytes);
  });
}

void FaultProxy::limitToSources(std::set<std::string> SourceIps) {
  Impl_->run([&] { Impl_->AffectedSources_ = std::move(SourceIps); });
}

void FaultProxy::duplicateUdp(bool Duplicate) {
  Impl_->run([&] { Impl_->Duplicate_ = Duplicate; });
}

void FaultProxy::dropUdp(double Share, uint64_t Seed) {
  Impl_->run([&] {
    Impl_->DropShare_ = Share;
    Impl_->Random_.seed(Seed);
  });
}

void FaultProxy::heal() {
  Impl_->run([&] { Impl_->clearFaults(); });
}

size_t FaultProxy::connections() const {
  return Impl_->run([&] { return Impl_->Connections_.size(); });
}

uint64_t FaultProxy::accepted() const {
  return Impl_->run([&] { return Impl_->Accepted_; });
}

uint64_t FaultProxy::passedBytes(Direction Way) const {
  return Impl_->run([&] {
    uint64_t Sum = 0;
    for (DirectionIndex Index : {ToTargetIndex, FromTargetIndex})
      if (covers(Way, Index))
        Sum += Impl_->PassedBytes_[Index];
    return Sum;
  });
}

uint64_t FaultProxy::passedDatagrams() const {
  return Impl_->run([&] { return Impl_->PassedDatagrams_; });
}

} // namespace coltsfoot
