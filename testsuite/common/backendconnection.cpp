#include "backendconnection.h"

#include "backendjob.h"

#include <boost/beast.hpp>
#include <optional>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;

std::string answerText(int Status, const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text += http::obsolete_reason(static_cast<http::status>(Status));
  Text += "\r\nContent-Type: application/json\r\nContent-Length: ";
  Text += std::to_string(Body.size());
  if (Status == 503)
    Text += "\r\nRetry-After: 1";
  Text += "\r\n\r\n";
  return Text + Body;
}

} // namespace

/// One connection; it lives as long as an operation on it is under way.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
public:
  BackendConnection(BackendServer::Impl &Server, asio::ip::tcp::socket Socket)
      : Server_(Server), Socket_(std::move(Socket)) {
    ++Server_.Connections_;
  }
  ~BackendConnection() { --Server_.Connections_; }

  void readRequest() {
    Parser_.emplace();
    Parser_->body_limit(MaxBodyBytes);
    http::async_read(Socket_, Buffer_, *Parser_,
                     [Self = shared_from_this()](error_code Error, size_t) {
                       if (!Error)
                         Self->onRequest();
                     });
  }

private:
  void onRequest() {
    BackendRequest Request;
    Request.Method_ = std::string(Parser_->get().method_string());
    Request.Target_ = std::string(Parser_->get().target());
    for (const auto &Field : Parser_->get())
      Request.Fields_.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    Request.Body_ = std::move(Parser_->get().body());
    KeepAlive_ = Parser_->get().keep_alive();
    if (answerDirectly(Request))
      return;
    try {
      auto Job = std::make_shared<BackendJob>(
          Server_, std::move(Request),
          [Self = shared_from_this()](int Status, const std::string &Body) {
            Self->onAnswer(Status, Body);
          });
      Job_ = Job;
      Server_.submit(Job);
    } catch (const std::invalid_argument &Error) {
      return write(answerText(400, R"({"error":"malformed X-Child"})"));
    }
    // A refused job has answered already.
    if (!Job_.expired())
      watchForClose();
  }

  /// Serves what needs no slot; returns whether the request was such.
  bool answerDirectly(const BackendRequest &Request) {
    const std::string &Target = Request.Target_;
    if (Target == "/health" || Target == "/load")
      write(answerText(200, Server_.loadText()));
    else if (Target == "/runs")
      write(answerText(200, Server_.runsText()));
    else if (Target == "/stats")
      write(answerText(200, Server_.statsText()));
    else if (Target == "/control" && Request.Method_ == "POST")
      control(Request.Body_);
    else
      return false;
    return true;
  }

  void control(const std::string &Body) {
    try {
      Server_.control(Body);
      write(answerText(200, "{}"));
    } catch (const std::exception &Error) {
      write(answerText(400, R"({"error":"malformed control"})"));
    }
  }

  /// Waits for the caller's close while a job is under way. Bytes of a further
  /// request end the wait; they are read after the answer.
  void watchForClose() {
    Watching_ = true;
    Socket_.async_wait(asio::socket_base::wait_read,
                       [Self = shared_from_this()](error_code Error) {
                         Self->Watching_ = false;
                         if (!Error && !Self->Job_.expired() &&
                             Self->closedByPeer())
                           Self->cancelJob();
                         else if (Self->Answered_)
                           Self->writeAnswer();
                       });
  }

  bool closedByPeer() {
    char Byte = 0;
    ssize_t Size =
        ::recv(Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Size == 0 || (Size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void cancelJob() {
    if (auto Job = Job_.lock())
      Job->cancel();
    Job_.reset();
    error_code Ignored;
    Socket_.close(Ignored);
  }

  void onAnswer(int Status, const std::string &Body) {
    Job_.reset();
    Text_ = answerText(Status, Body);
    Answered_ = true;
    error_code Ignored;
    if (Watching_)
      Socket_.cancel(Ignored);
    else
      writeAnswer();
  }

  void writeAnswer() {
    Answered_ = false;
    if (Server_.CloseBefore_ > 0) {
      --Server_.CloseBefore_;
      return close();
    }
    if (Server_.CloseMid_ > 0) {
      --Server_.CloseMid_;
      error_code Ignored;
      asio::write(Socket_, asio::buffer(Text_.data(), Text_.size() / 2),
                  Ignored);
      return close();
    }
    write(std::move(Text_));
  }

  void write(std::string Text) {
    Text_ = std::move(Text);
    asio::async_write(Socket_, asio::buffer(Text_),
                      [Self = shared_from_this()](error_code Error, size_t) {
                        if (!Error && Self->KeepAlive_)
                          Self->readRequest();
                      });
  }

  void close() {
    error_code Ignored;
    Socket_.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
    Socket_.close(Ignored);
  }

  BackendServer::Impl &Server_;
  asio::ip::tcp::socket Socket_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  /// The job under way; its handler owns the connection.
  std::weak_ptr<BackendJob> Job_;
  std::string Text_;
  bool KeepAlive_ = true;
  bool Watching_ = false;
  /// The answer is ready and waits for the end of the watch.
  bool Answered_ = false;
};

void serveBackendConnection(BackendServer::Impl &Server,
                            asio::ip::tcp::socket Socket) {
  std::make_shared<BackendConnection>(Server, std::move(Socket))->readRequest();
}

} // namespace coltsfoot
