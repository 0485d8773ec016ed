#include "httpserver.h"

#include "httpframing.h"
#include "httpserversession.h"
#include "timer.h"

#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

namespace coltsfoot {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr Millis AcceptRetryDelay{20};
/// How long connections that are half open at a stop have to become whole: more
/// than a packet's way there and back within a zone.
constexpr Millis HandshakeGracePeriod{2};
constexpr std::string_view TooManyCallersResponse =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Coltsfoot-Verdict: not-run\r\nRetry-After: 1\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n";

// A socket that listens can't be told to take no more: what connects between
// the last accept and the close is reset, and its caller can't know whether a
// request that it sent has run. So first connections may not begin any more:
// the kernel drops the first packet of each (SYN without ACK), whose sender
// tries again after a second and is refused then, or served by a next process.
// Without this, where the kernel does not offer it, the moment stays open.
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

} // namespace

std::string_view HttpRequest::field(std::string_view Name) const {
  for (const HttpField &Field : Fields_)
    if (equalNames(Field.Name_, Name))
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
  void acceptBacklog();
  void retryAcceptLater();
  void stopAccepting();

  asio::io_context &Context_;
  tcp::acceptor Acceptor_;
  asio::steady_timer AcceptTimer_;
  const uint16_t Port_;
};

void HttpServer::Shared::accept() {
  if (Stopped_)
    return;
  Acceptor_.async_accept(asio::make_strand(Context_),
                         [Self = boost::intrusive_ptr<Shared>(this)](
                             const error_code &Error, tcp::socket Socket) {
                           if (!Error)
                             Self->onAccepted(std::move(Socket));
                           else if (!Self->Stopped_)
                             return Self->retryAcceptLater();
                           Self->accept();
                         });
}

// A caller over the limit learns, as far as the socket takes it at once, that
// its request did not run.
void HttpServer::Shared::onAccepted(tcp::socket Socket) {
  if (Callers_ >= Options_.Callers_) {
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

// Who has connected before the stop is served.
void HttpServer::Shared::acceptBacklog() {
  error_code Failure;
  Acceptor_.non_blocking(true, Failure);
  while (!Failure) {
    tcp::socket Socket(asio::make_strand(Context_));
    Acceptor_.accept(Socket, Failure);
    if (!Failure)
      onAccepted(std::move(Socket));
  }
}

// Out of file descriptors, say: a pause in place of a busy loop.
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
  AcceptTimer_.expires_after(toChrono(HandshakeGracePeriod));
  AcceptTimer_.async_wait(
      [Self = boost::intrusive_ptr<Shared>(this)](const error_code &) {
        Self->acceptBacklog();
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

void HttpServer::endKeptConnections() { Shared_->KeepAliveDisabled_ = true; }

void HttpServer::stop() {
  if (Shared_->Stopped_.exchange(true))
    return;
  asio::post(Shared_->Acceptor_.get_executor(),
             [Self = Shared_] { Self->stopAccepting(); });
  Shared_->stopAll();
}

uint16_t HttpServer::port() const { return Shared_->Port_; }

size_t HttpServer::pending() const { return Shared_->Pending_; }

} // namespace coltsfoot
