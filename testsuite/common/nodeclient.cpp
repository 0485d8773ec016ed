#include "nodeclient.h"

#include "coltsfootpoint/ipport.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <optional>
#include <sys/socket.h>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

struct Connection {
  explicit Connection(asio::io_context &Io) : Stream_(Io) {}
  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;

  /// Returns whether the connection can be reused: the other end has neither
  /// closed it nor sent anything.
  bool idle() {
    char Byte = 0;
    auto Handle = Stream_.socket().native_handle();
    ssize_t Size = ::recv(Handle, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
};

std::chrono::steady_clock::duration duration(Millis Time) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(Time.count()));
}

} // namespace

/// The idle connections. Calls in flight share the pool, so that it outlives
/// the client until they end.
struct NodeClient::Pool {
  std::optional<IpPort> Node_;
  std::vector<std::shared_ptr<Connection>> Idle_;
};

class NodeClient::Call : public NodeCall,
                         public std::enable_shared_from_this<NodeClient::Call> {
public:
  Call(asio::io_context &Io, std::shared_ptr<Pool> Connections,
       NodeRequest Request, Handler Done)
      : Io_(Io), Pool_(std::move(Connections)), Node_(Pool_->Node_),
        Timeout_(Request.Timeout_), Done_(std::move(Done)) {
    Message_.version(11);
    Message_.method_string(Request.Method_);
    Message_.target(Request.Target_);
    if (Node_)
      Message_.set(http::field::host, Node_->text());
    for (const HttpField &Field : Request.Fields_)
      Message_.insert(Field.Name_, Field.Value_);
    Message_.body() = std::move(Request.Body_);
    Message_.prepare_payload();
  }

  void start() {
    if (!Node_)
      return asio::post(Io_, [Self = shared_from_this()] { Self->fail(); });
    while (!Connection_ && !Pool_->Idle_.empty()) {
      auto Candidate = Pool_->Idle_.back();
      Pool_->Idle_.pop_back();
      if (Candidate->idle())
        Connection_ = Candidate;
    }
    bool IsReused = bool(Connection_);
    if (!IsReused)
      Connection_ = std::make_shared<Connection>(Io_);
    Connection_->Stream_.expires_after(duration(Timeout_));
    if (IsReused)
      return write();
    asio::ip::tcp::endpoint Target(asio::ip::make_address(Node_->Ip_),
                                   Node_->Port_);
    Connection_->Stream_.async_connect(
        Target, [Self = shared_from_this()](error_code Error) {
          if (Error)
            return Self->fail();
          Self->Connection_->Stream_.socket().set_option(
              asio::ip::tcp::no_delay(true), Error);
          Self->write();
        });
  }

  void cancel() override {
    Done_ = nullptr;
    if (Connection_)
      Connection_->Stream_.close();
  }

private:
  void write() {
    http::async_write(Connection_->Stream_, Message_,
                      [Self = shared_from_this()](error_code Error, size_t) {
                        if (Error)
                          return Self->fail();
                        Self->read();
                      });
  }

  void read() {
    http::async_read(Connection_->Stream_, Connection_->Buffer_, Response_,
                     [Self = shared_from_this()](error_code Error, size_t) {
                       if (Error)
                         return Self->fail();
                       Self->finish();
                     });
  }

  void finish() {
    Connection_->Stream_.expires_never();
    if (Done_ && Response_.keep_alive() && Pool_->Node_ == Node_)
      Pool_->Idle_.push_back(Connection_);
    HttpReply Reply;
    Reply.Status_ = static_cast<int>(Response_.result_int());
    for (const auto &Field : Response_)
      Reply.Fields_.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    Reply.Body_ = std::move(Response_.body());
    deliver(Reply);
  }

  void fail() {
    if (Connection_)
      Connection_->Stream_.close();
    deliver(HttpReply());
  }

  void deliver(const HttpReply &Reply) {
    Handler Done = std::move(Done_);
    Done_ = nullptr;
    if (Done)
      Done(Reply);
  }

  asio::io_context &Io_;
  std::shared_ptr<Pool> Pool_;
  std::optional<IpPort> Node_;
  Millis Timeout_;
  Handler Done_;
  std::shared_ptr<Connection> Connection_;
  http::request<http::string_body> Message_;
  http::response<http::string_body> Response_;
};

NodeClient::NodeClient(asio::io_context &Io)
    : Io_(Io), Pool_(std::make_shared<Pool>()) {}

NodeClient::~NodeClient() = default;

void NodeClient::setNode(const std::string &Node) {
  auto Parsed = parseIpPort(Node);
  if (!Parsed)
    throw std::invalid_argument("node address: expected ip:port, got '" + Node +
                                "'");
  if (Pool_->Node_ != Parsed)
    Pool_->Idle_.clear();
  Pool_->Node_ = Parsed;
}

bool NodeClient::hasNode() const { return Pool_->Node_.has_value(); }

std::shared_ptr<NodeCall> NodeClient::call(NodeRequest Request, Handler Done) {
  auto NewCall =
      std::make_shared<Call>(Io_, Pool_, std::move(Request), std::move(Done));
  NewCall->start();
  return NewCall;
}

} // namespace coltsfoot
