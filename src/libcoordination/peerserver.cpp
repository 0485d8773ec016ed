#include "peerserver.h"

#include "coltsfoot_types.h"
#include "timer.h"

#include "coltsfootpoint/log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <mutex>
#include <vector>

namespace coltsfoot {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr Millis AcceptRetryDelay{20};

} // namespace

struct PeerServer::Shared : std::enable_shared_from_this<Shared> {
  Shared(asio::io_context &Context, const tcp::endpoint &Address)
      : Context_(Context), Acceptor_(asio::make_strand(Context), Address),
        AcceptRetryTimer_(Acceptor_.get_executor()),
        Port_(Acceptor_.local_endpoint().port()) {}

  void accept();
  void onAccepted(tcp::socket Socket);
  void onClosed(uint64_t Number, CloseCause Cause);
  void stop();

  asio::io_context &Context_;
  tcp::acceptor Acceptor_;
  asio::steady_timer AcceptRetryTimer_;
  const uint16_t Port_;
  FrameConnection::Options Options_;
  wire::Hello Self_;
  Handlers Handlers_;

  std::mutex Mutex_; // guards the members below
  bool Stopped_ = false;
  uint64_t LastNumber_ = 0;
  std::map<uint64_t, FrameConnection::Pointer> Connections_;
};

void PeerServer::Shared::accept() {
  if (!Acceptor_.is_open())
    return;
  Acceptor_.async_accept(
      asio::make_strand(Context_),
      [Self = shared_from_this()](const error_code &Error, tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error) {
          // First, so that an exception in onAccepted() does not end the
          // accepting.
          Self->accept();
          return Self->onAccepted(std::move(Socket));
        }
        Self->AcceptRetryTimer_.expires_after(toChrono(AcceptRetryDelay));
        Self->AcceptRetryTimer_.async_wait([Self](const error_code &Failure) {
          if (!Failure)
            Self->accept();
        });
      });
}

void PeerServer::Shared::onAccepted(tcp::socket Socket) {
  FrameConnection::Pointer Accepted;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Stopped_)
      return;
    uint64_t Number = ++LastNumber_;
    FrameConnection::Handlers Callbacks;
    Callbacks.OnOpen_ = [](FrameConnection &, const wire::Hello &) {};
    Callbacks.OnFrame_ = [Self = shared_from_this(),
                          Number](FrameConnection &Connection,
                                  wire::Frame &&Message) {
      Self->Handlers_.OnFrame_(Number, FrameConnection::Pointer(&Connection),
                               std::move(Message));
    };
    Callbacks.OnClosed_ = [Self = shared_from_this(),
                           Number](FrameConnection &, CloseCause Cause) {
      Self->onClosed(Number, Cause);
    };
    Accepted = FrameConnection::create(std::move(Socket), Options_, Self_,
                                       std::move(Callbacks));
    Connections_[Number] = Accepted;
  }
  Accepted->start();
}

void PeerServer::Shared::onClosed(uint64_t Number, CloseCause Cause) {
  bool Refused =
      Cause == CloseCause::Garbage || Cause == CloseCause::Handshake ||
      Cause == CloseCause::TooLarge || Cause == CloseCause::ReceiveLimit ||
      Cause == CloseCause::Overflow;
  if (Refused)
    logEvent(LogLevel::Warning, "peer_refused",
             {{"cause", closeCauseName(Cause)}});
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Connections_.erase(Number);
  }
  Handlers_.OnClosed_(Number);
}

void PeerServer::Shared::stop() {
  std::vector<FrameConnection::Pointer> Open;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Stopped_ = true;
    for (auto &[Number, Connection] : Connections_)
      Open.push_back(Connection);
  }
  asio::post(Acceptor_.get_executor(), [Self = shared_from_this()] {
    error_code Ignored;
    Self->Acceptor_.close(Ignored);
    Self->AcceptRetryTimer_.cancel();
  });
  for (const FrameConnection::Pointer &Connection : Open)
    Connection->close();
}

PeerServer::PeerServer(asio::io_context &Context, const tcp::endpoint &Address)
    : Shared_(std::make_shared<Shared>(Context, Address)) {}

// Shared_ and the handlers of its connections hold references to each other.
// As the OnClosed_ handlers may never be called, the connections are removed
// here, which breaks the cycles.
PeerServer::~PeerServer() {
  Shared_->stop();
  std::map<uint64_t, FrameConnection::Pointer> Open;
  std::lock_guard<std::mutex> Lock(Shared_->Mutex_);
  std::swap(Open, Shared_->Connections_);
}

uint16_t PeerServer::port() const { return Shared_->Port_; }

void PeerServer::start(FrameConnection::Options Limits, wire::Hello Self,
                       Handlers Callbacks) {
  Shared_->Options_ = Limits;
  Shared_->Self_ = std::move(Self);
  Shared_->Handlers_ = std::move(Callbacks);
  asio::dispatch(Shared_->Acceptor_.get_executor(),
                 [Self = Shared_] { Self->accept(); });
}

void PeerServer::stop() { Shared_->stop(); }

} // namespace coltsfoot
