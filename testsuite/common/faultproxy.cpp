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
/// Reading stops while more than this waits to be written.
constexpr size_t MaxQueuedBytes = 4 * 1024 * 1024;

/// Index of a direction in the arrays below.
enum Side : size_t { ToTargetSide = 0, FromTargetSide = 1 };

bool covers(Direction Way, Side Where) {
  return Way == Direction::Both ||
         (Way == Direction::ToTarget) == (Where == ToTargetSide);
}

/// The faults of one direction of a connection, or of all datagrams that way.
struct SideFaults {
  double DelayMs_ = 0;
  bool Swallow_ = false;
  std::optional<uint64_t> CutAfter_;
};

using Faults = std::array<SideFaults, 2>;

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

  /// Runs a function in the proxy's thread and waits for its end.
  template <typename F> auto run(F Function) {
    return runIn(Io_, std::move(Function));
  }

  /// Applies a change to the faults that the set of connections stands for.
  void change(Which Set, const std::function<void(Faults &)> &Change);
  void cutExisting();
  void healAll();
  bool affects(const std::string &SourceIp) const {
    return Only_.empty() || Only_.count(SourceIp) != 0;
  }

  struct Link;
  struct Flow;

  void acceptNext();
  void startLink(tcp::socket Caller, const std::string &SourceIp);
  void receiveNext();
  void onDatagram(std::string_view Bytes);
  void receiveReply(const std::shared_ptr<Flow> &Flow);
  void passDatagram(Side Where, const std::string &SourceIp,
                    std::string_view Bytes,
                    std::function<void(const std::string &)> Send);

  asio::io_context Io_;
  asio::ip::address Address_;
  tcp::acceptor Acceptor_{Io_};
  udp::socket Datagrams_{Io_};
  uint16_t Port_ = 0;
  std::optional<asio::ip::address> TargetIp_;
  uint16_t TargetPort_ = 0;
  Faults NewFaults_;
  Faults DatagramFaults_;
  bool RefuseNew_ = false;
  std::set<std::string> Only_;
  bool Duplicate_ = false;
  double DropShare_ = 0;
  std::mt19937_64 Random_;
  std::list<std::shared_ptr<Link>> Links_;
  std::map<udp::endpoint, std::shared_ptr<Flow>> Flows_;
  std::array<char, ChunkBytes> Datagram_{};
  udp::endpoint DatagramSource_;
  uint64_t Accepted_ = 0;
  std::array<uint64_t, 2> PassedBytes_{};
  uint64_t PassedDatagrams_ = 0;
  std::thread Thread_;
};

/// One TCP connection through the proxy: two sockets and, for each direction,
/// the bytes on their way.
struct FaultProxy::Impl::Link
    : public std::enable_shared_from_this<FaultProxy::Impl::Link> {
  /// Bytes that become due together; none at all stand for the sender's close.
  struct Chunk {
    std::chrono::steady_clock::time_point Due_;
    std::string Bytes_;
  };
  struct Half {
    explicit Half(asio::io_context &Io) : Timer_(Io) {}
    std::array<char, ChunkBytes> Buffer_{};
    std::deque<Chunk> Queue_;
    size_t QueuedBytes_ = 0;
    bool Reading_ = false;
    bool Writing_ = false;
    bool Lost_ = false;
    /// The sender has closed; nothing more is read.
    bool Ended_ = false;
    /// The sender's close has been passed on.
    bool Closed_ = false;
    asio::steady_timer Timer_;
  };

  Link(Impl &Owner, tcp::socket Caller, std::string SourceIp)
      : Owner_(Owner),
        SourceIp_(std::move(SourceIp)), Sockets_{std::move(Caller),
                                                 tcp::socket(Owner.Io_)},
        Halves_{Half(Owner.Io_), Half(Owner.Io_)} {}

  tcp::socket &source(Side Where) { return Sockets_[Where]; }
  tcp::socket &sink(Side Where) { return Sockets_[1 - Where]; }

  const SideFaults &faults(Side Where) const {
    static const SideFaults None;
    return Owner_.affects(SourceIp_) ? Faults_[Where] : None;
  }

  void connect(const tcp::endpoint &Target) {
    error_code Error;
    tcp::socket &Out = Sockets_[1];
    Out.open(Target.protocol(), Error);
    if (!Error)
      Out.bind(tcp::endpoint(Owner_.Address_, 0), Error);
    if (Error)
      return cut();
    Out.async_connect(Target, [Self = shared_from_this()](error_code Failed) {
      if (Self->Cut_)
        return;
      if (Failed)
        return Self->cut();
      for (tcp::socket &Socket : Self->Sockets_)
        Socket.set_option(tcp::no_delay(true), Failed);
      Self->readNext(ToTargetSide);
      Self->readNext(FromTargetSide);
    });
  }

  void readNext(Side Where) {
    Half &Way = Halves_[Where];
    bool Wanted = !Way.Reading_ && !Way.Ended_;
    if (Cut_ || !Wanted || Way.QueuedBytes_ > MaxQueuedBytes)
      return;
    Way.Reading_ = true;
    source(Where).async_read_some(
        asio::buffer(Way.Buffer_),
        [Self = shared_from_this(), Where](error_code Error, size_t Size) {
          Self->Halves_[Where].Reading_ = false;
          if (!Self->Cut_)
            Self->onRead(Where, Error, Size);
        });
  }

  void onRead(Side Where, error_code Error, size_t Size) {
    Half &Way = Halves_[Where];
    const SideFaults &Now = faults(Where);
    Way.Ended_ = bool(Error);
    // A swallowed close stays unknown to the other end, as it would behind a
    // middlebox that has lost the connection.
    if (Now.Swallow_) {
      Way.Lost_ = true;
      readNext(Where);
      return;
    }
    if (Error && Error != asio::error::eof)
      return cut();
    std::string Bytes(Way.Buffer_.data(), Size);
    Way.QueuedBytes_ += Size;
    Way.Queue_.push_back({after(Now.DelayMs_), std::move(Bytes)});
    writeNext(Where);
    readNext(Where);
  }

  void writeNext(Side Where) {
    Half &Way = Halves_[Where];
    if (Cut_ || Way.Writing_ || Way.Queue_.empty())
      return;
    Way.Writing_ = true;
    if (Way.Queue_.front().Due_ <= std::chrono::steady_clock::now())
      return writeFront(Where);
    Way.Timer_.expires_at(Way.Queue_.front().Due_);
    Way.Timer_.async_wait([Self = shared_from_this(), Where](error_code) {
      if (!Self->Cut_)
        Self->writeFront(Where);
    });
  }

  void writeFront(Side Where) {
    Half &Way = Halves_[Where];
    std::string &Bytes = Way.Queue_.front().Bytes_;
    // Bytes that waited in the proxy when the fault came are lost as well.
    if (faults(Where).Swallow_) {
      Way.Lost_ = true;
      return finishFront(Where);
    }
    if (Bytes.empty()) {
      error_code Ignored;
      sink(Where).shutdown(tcp::socket::shutdown_send, Ignored);
      Way.Closed_ = true;
      return finishFront(Where);
    }
    size_t Size = Bytes.size();
    std::optional<uint64_t> Rest = faults(Where).CutAfter_;
    bool LastOnes = Rest && *Rest < Size;
    if (LastOnes)
      Size = static_cast<size_t>(*Rest);
    asio::async_write(sink(Where), asio::buffer(Bytes.data(), Size),
                      [Self = shared_from_this(), Where,
                       LastOnes](error_code Error, size_t Written) {
                        if (Self->Cut_)
                          return;
                        Self->countPassed(Where, Written);
                        if (Error || LastOnes)
                          return Self->cut();
                        Self->finishFront(Where);
                      });
  }

  void countPassed(Side Where, size_t Written) {
    Owner_.PassedBytes_[Where] += Written;
    std::optional<uint64_t> &Rest = Faults_[Where].CutAfter_;
    if (Rest)
      *Rest -= std::min<uint64_t>(*Rest, Written);
  }

  void finishFront(Side Where) {
    Half &Way = Halves_[Where];
    Way.QueuedBytes_ -= Way.Queue_.front().Bytes_.size();
    Way.Queue_.pop_front();
    Way.Writing_ = false;
    if (Halves_[0].Closed_ && Halves_[1].Closed_)
      return cut();
    writeNext(Where);
    readNext(Where);
  }

  bool lostBytes() const { return Halves_[0].Lost_ || Halves_[1].Lost_; }

  void cut() {
    if (Cut_)
      return;
    auto Self = shared_from_this();
    Cut_ = true;
    for (Half &Way : Halves_)
      Way.Timer_.cancel();
    for (tcp::socket &Socket : Sockets_)
      reset(Socket);
    Owner_.Links_.remove(Self);
  }

  Impl &Owner_;
  std::string SourceIp_;
  Faults Faults_;
  bool Cut_ = false;
  std::array<tcp::socket, 2> Sockets_;
  std::array<Half, 2> Halves_;
};

/// The way back for the datagrams of one source.
struct FaultProxy::Impl::Flow {
  explicit Flow(Impl &Owner, udp::endpoint Source)
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
      error_code Gone;
      auto Source = Caller.remote_endpoint(Gone);
      if (!Gone)
        startLink(std::move(Caller), Source.address().to_string());
    }
    acceptNext();
  });
}

void FaultProxy::Impl::startLink(tcp::socket Caller,
                                 const std::string &SourceIp) {
  ++Accepted_;
  if (!TargetIp_ || (RefuseNew_ && affects(SourceIp)))
    return reset(Caller);
  auto Started = std::make_shared<Link>(*this, std::move(Caller), SourceIp);
  Started->Faults_ = NewFaults_;
  Links_.push_back(Started);
  Started->connect(tcp::endpoint(*TargetIp_, TargetPort_));
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
  std::shared_ptr<Flow> &Found = Flows_[DatagramSource_];
  if (!Found) {
    Found = std::make_shared<Flow>(*this, DatagramSource_);
    receiveReply(Found);
  }
  passDatagram(ToTargetSide, DatagramSource_.address().to_string(), Bytes,
               [this, Way = Found](const std::string &Copy) {
                 error_code Ignored;
                 Way->Socket_.send_to(asio::buffer(Copy),
                                      udp::endpoint(*TargetIp_, TargetPort_), 0,
                                      Ignored);
               });
}

void FaultProxy::Impl::receiveReply(const std::shared_ptr<Flow> &Way) {
  Way->Socket_.async_receive_from(
      asio::buffer(Way->Buffer_), Way->Sender_,
      [this, Way](error_code Error, size_t Size) {
        if (!Error)
          passDatagram(FromTargetSide, Way->Source_.address().to_string(),
                       std::string_view(Way->Buffer_.data(), Size),
                       [this, Way](const std::string &Copy) {
                         error_code Ignored;
                         Datagrams_.send_to(asio::buffer(Copy), Way->Source_, 0,
                                            Ignored);
                       });
        receiveReply(Way);
      });
}

void FaultProxy::Impl::passDatagram(
    Side Where, const std::string &SourceIp, std::string_view Bytes,
    std::function<void(const std::string &)> Send) {
  bool Affected = affects(SourceIp);
  SideFaults Now = Affected ? DatagramFaults_[Where] : SideFaults();
  bool Dropped =
      Affected && DropShare_ > 0 &&
      std::uniform_real_distribution<double>(0, 1)(Random_) < DropShare_;
  if (Now.Swallow_ || Dropped)
    return;
  int Copies = Affected && Duplicate_ ? 2 : 1;
  auto Pass = [this, Copies, Send = std::move(Send),
               Copy = std::string(Bytes)] {
    for (int I = 0; I < Copies; ++I)
      Send(Copy);
    PassedDatagrams_ += Copies;
  };
  if (Now.DelayMs_ <= 0)
    return Pass();
  auto Timer = std::make_shared<asio::steady_timer>(Io_, after(Now.DelayMs_));
  Timer->async_wait([Timer, Pass = std::move(Pass)](error_code) { Pass(); });
}

void FaultProxy::Impl::change(Which Set,
                              const std::function<void(Faults &)> &Change) {
  if (Set != Which::New)
    for (const std::shared_ptr<Link> &Open : Links_)
      Change(Open->Faults_);
  if (Set != Which::Existing)
    Change(NewFaults_);
  if (Set == Which::All)
    Change(DatagramFaults_);
}

void FaultProxy::Impl::cutExisting() {
  auto Open = Links_;
  for (const std::shared_ptr<Link> &Each : Open)
    if (affects(Each->SourceIp_))
      Each->cut();
}

void FaultProxy::Impl::healAll() {
  auto Open = Links_;
  for (const std::shared_ptr<Link> &Each : Open) {
    Each->Faults_ = Faults();
    if (Each->lostBytes())
      Each->cut();
  }
  NewFaults_ = Faults();
  DatagramFaults_ = Faults();
  RefuseNew_ = false;
  Only_.clear();
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

void FaultProxy::delay(Millis Time, Direction Way, Which Set) {
  Impl_->run([&] {
    Impl_->change(Set, [&](Faults &Changed) {
      for (Side Where : {ToTargetSide, FromTargetSide})
        if (covers(Way, Where))
          Changed[Where].DelayMs_ = Time.count();
    });
  });
}

void FaultProxy::swallow(Direction Way, Which Set) {
  Impl_->run([&] {
    Impl_->change(Set, [&](Faults &Changed) {
      for (Side Where : {ToTargetSide, FromTargetSide})
        if (covers(Way, Where))
          Changed[Where].Swallow_ = true;
    });
  });
}

void FaultProxy::cut(Which Set) {
  Impl_->run([&] {
    if (Set != Which::New)
      Impl_->cutExisting();
    if (Set != Which::Existing)
      Impl_->RefuseNew_ = true;
  });
}

void FaultProxy::cutAfterBytes(Direction Way, uint64_t Count, Which Set) {
  Impl_->run([&] {
    Impl_->change(Set, [&](Faults &Changed) {
      for (Side Where : {ToTargetSide, FromTargetSide})
        if (covers(Way, Where))
          Changed[Where].CutAfter_ = Count;
    });
  });
}

void FaultProxy::refuseNew(bool Refuse) {
  Impl_->run([&] { Impl_->RefuseNew_ = Refuse; });
}

void FaultProxy::onlyFrom(std::set<std::string> SourceIps) {
  Impl_->run([&] { Impl_->Only_ = std::move(SourceIps); });
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
  Impl_->run([&] { Impl_->healAll(); });
}

size_t FaultProxy::connections() const {
  return Impl_->run([&] { return Impl_->Links_.size(); });
}

uint64_t FaultProxy::accepted() const {
  return Impl_->run([&] { return Impl_->Accepted_; });
}

uint64_t FaultProxy::passedBytes(Direction Way) const {
  return Impl_->run([&] {
    uint64_t Sum = 0;
    for (Side Where : {ToTargetSide, FromTargetSide})
      if (covers(Way, Where))
        Sum += Impl_->PassedBytes_[Where];
    return Sum;
  });
}

uint64_t FaultProxy::passedDatagrams() const {
  return Impl_->run([&] { return Impl_->PassedDatagrams_; });
}

} // namespace coltsfoot
