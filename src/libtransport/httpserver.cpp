#include "httpserver.h"

#include "httpframing.h"
#include "httpserversession.h"
#include "timer.h"

#include "coltsfootpoint/log.h"

#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <linux/filter.h>
#include <optional>
#include <sys/socket.h>

namespace coltsfoot {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr Millis AcceptRetryDelay{20};
/// How many idle connections are closed after a failure to accept one.
constexpr int ClosedAfterAcceptFailure = 8;
constexpr Millis AcceptFailureLogInterval{1000};
/// A connection idle for less is likely to be used again, and is closed only at
/// Options::Callers_.
constexpr Millis LongIdle{5000};
/// How long connections that are half open at a stop have to complete their TCP
/// handshake. This is longer than a round trip between a caller and its region.
constexpr Millis HandshakeGracePeriod{50};
constexpr std::string_view TooManyCallersResponse =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Coltsfoot-Verdict: not-run\r\nRetry-After: 1\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";

// A listening socket can't be made to refuse new connections while it is open.
// A connection that is established between the last accept and the close of the
// socket is reset, and its caller can't know whether the request that it sent
// has run. Therefore a socket filter makes the kernel drop the first packet of
// each new connection (SYN without ACK) before the backlog is accepted. The
// sender retries after one second and is refused then, or served by the next
// process. If the kernel does not support the filter, such a reset remains
// possible.
void dropNewConnections(int Listener) {
  constexpr uint32_t FlagsOffset = 13; // in the TCP header, RFC 9293
  constexpr uint32_t Syn = 0x02;
  constexpr uint32_t Ack = 0x10;
  constexpr uint32_t PassWholePacket = 0xffffffff;
  std::array<sock_filter, 5> Program = {{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, Syn | Ack),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, Syn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, PassWholePacket),
  }};
  sock_fprog Filter{static_cast<unsigned short>(Program.size()),
                    Program.data()};
  ::setsockopt(Listener, SOL_SOCKET, SO_ATTACH_FILTER, &Filter, sizeof Filter);
}

bool isShortage(const error_code &Error) {
  return Error == boost::system::errc::too_many_files_open ||
         Error == boost::system::errc::too_many_files_open_in_system ||
         Error == boost::system::errc::no_buffer_space ||
         Error == boost::system::errc::not_enough_memory;
}

} // namespace

std::string_view HttpRequest::field(std::string_view Name) const {
  for (const HttpField &Field : Fields_)
    if (equalIgnoringCase(Field.Name_, Name))
      return Field.Value_;
  return {};
}

struct HttpServer::Shared : HttpServerState {
  Shared(asio::io_context &Context, const tcp::endpoint &Address,
         Options Limits, Handler OnRequest)
      : HttpServerState(Limits, std::move(OnRequest)), Context_(Context),
        Acceptor_(asio::make_strand(Context), Address),
        AcceptTimer_(Acceptor_.get_executor()),
        Port_(Acceptor_.local_endpoint().port()) {}

  void accept();
  void onAccepted(tcp::socket Socket);
  bool makeRoom();
  void onAcceptFailed(const error_code &Error);
  void freeDescriptors(const error_code &Error);
  error_code acceptBacklog();
  void acceptBacklogAfter(Millis Delay);
  void retryAcceptLater();
  void stopAccepting();

  asio::io_context &Context_;
  tcp::acceptor Acceptor_;
  asio::steady_timer AcceptTimer_;
  const uint16_t Port_;
  const SystemClock Clock_;
  std::optional<Millis> FailureLogged_;
};

void HttpServer::Shared::accept() {
  if (Stopped_)
    return;
  Acceptor_.async_accept(asio::make_strand(Context_),
                         [Self = boost::intrusive_ptr<Shared>(this)](
                             const error_code &Error, tcp::socket Socket) {
                           if (Error && !Self->Stopped_)
                             return Self->onAcceptFailed(Error);
                           // First, so that an exception in onAccepted() does
                           // not end the accepting.
                           Self->accept();
                           if (!Error)
                             Self->onAccepted(std::move(Socket));
                         });
}

// Tells a caller over the limit that its request did not run. The refusal is
// written without blocking; what the socket's buffer does not take is lost.
void HttpServer::Shared::onAccepted(tcp::socket Socket) {
  if (!makeRoom()) {
    ++Refused_;
    error_code Ignored;
    Socket.non_blocking(true, Ignored);
    Socket.write_some(asio::buffer(TooManyCallersResponse), Ignored);
    Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    return;
  }
  boost::intrusive_ptr<HttpServerSession> Caller(
      new HttpServerSession(std::move(Socket), this));
  Caller->start();
}

/// Closes an idle connection if there are many. Returns whether there is room
/// for a further one.
bool HttpServer::Shared::makeRoom() {
  if (Callers_ >= Options_.Callers_)
    return closeLongestIdle(Millis(0));
  if (crowded())
    closeLongestIdle(LongIdle);
  return true;
}

void HttpServer::Shared::onAcceptFailed(const error_code &Error) {
  freeDescriptors(Error);
  retryAcceptLater();
}

// Accepting fails, for example, while no file descriptors are left; idle
// connections then hold most of them.
void HttpServer::Shared::freeDescriptors(const error_code &Error) {
  ++AcceptFailures_;
  Millis Now = Clock_.now();
  if (!FailureLogged_ || Now - *FailureLogged_ >= AcceptFailureLogInterval) {
    FailureLogged_ = Now;
    logEvent(LogLevel::Warning, "accept_failed",
             {{"error", Error.message()},
              {"port", Port_},
              {"connections", Callers_.load()},
              {"failures", AcceptFailures_.load()}});
  }
  for (int I = 0; I < ClosedAfterAcceptFailure; ++I)
    closeLongestIdle(Millis(0));
}

// Accepts the connections that were established before the stop, so that their
// requests are served. Returns why no further one was accepted.
error_code HttpServer::Shared::acceptBacklog() {
  error_code Failure;
  Acceptor_.non_blocking(true, Failure);
  while (!Failure) {
    tcp::socket Socket(asio::make_strand(Context_));
    Acceptor_.accept(Socket, Failure);
    if (!Failure)
      onAccepted(std::move(Socket));
  }
  return Failure;
}

// The delay prevents a busy loop.
void HttpServer::Shared::retryAcceptLater() {
  AcceptTimer_.expires_after(toChrono(AcceptRetryDelay));
  AcceptTimer_.async_wait(
      [Self = boost::intrusive_ptr<Shared>(this)](const error_code &Error) {
        if (!Error)
          Self->accept();
      });
}

void HttpServer::Shared::stopAccepting() {
  dropNewConnections(Acceptor_.native_handle());
  acceptBacklogAfter(HandshakeGracePeriod);
}

// Closing the listening socket resets what it still holds. While descriptors
// are short, it stays open until the others have been accepted.
void HttpServer::Shared::acceptBacklogAfter(Millis Delay) {
  AcceptTimer_.expires_after(toChrono(Delay));
  AcceptTimer_.async_wait(
      [Self = boost::intrusive_ptr<Shared>(this)](const error_code &) {
        error_code End = Self->acceptBacklog();
        if (isShortage(End)) {
          Self->freeDescriptors(End);
          return Self->acceptBacklogAfter(AcceptRetryDelay);
        }
        error_code Ignored;
        Self->Acceptor_.close(Ignored);
      });
}

HttpServer::HttpServer(asio::io_context &Context, const tcp::endpoint &Address,
                       Options Limits, Handler OnRequest)
    : Shared_(new Shared(Context, Address, Limits, std::move(OnRequest))) {}

HttpServer::~HttpServer() { stop(); }

void HttpServer::start() {
  asio::dispatch(Shared_->Acceptor_.get_executor(),
                 [Self = Shared_] { Self->accept(); });
}

void HttpServer::disableKeepAlive() { Shared_->KeepAliveDisabled_ = true; }

void HttpServer::stop() {
  if (Shared_->Stopped_.exchange(true))
    return;
  asio::post(Shared_->Acceptor_.get_executor(),
             [Self = Shared_] { Self->stopAccepting(); });
  Shared_->stopAll();
}

uint16_t HttpServer::port() const { return Shared_->Port_; }

size_t HttpServer::pending() const { return Shared_->Pending_; }

HttpServer::Figures HttpServer::figures() const {
  return {Shared_->Callers_, Shared_->Pending_,        Shared_->IdleClosed_,
          Shared_->Refused_, Shared_->AcceptFailures_, Shared_->CallersLeft_};
}

} // namespace coltsfoot
