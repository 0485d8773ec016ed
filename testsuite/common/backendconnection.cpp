#include "backendconnection.h"

#include "backendjob.h"
#include "timer.h"

#include <boost/beast.hpp>
#include <optional>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;

constexpr const char *ContextField = "Coltsfoot-Context";

std::string responseText(int Status, const std::string &Body,
                         const std::string &Context = {}) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text += http::obsolete_reason(static_cast<http::status>(Status));
  Text += "\r\nContent-Type: application/json\r\nContent-Length: ";
  Text += std::to_string(Body.size());
  if (Status == 503)
    Text += "\r\nRetry-After: 1";
  if (!Context.empty())
    Text += std::string("\r\n") + ContextField + ": " + Context;
  Text += "\r\n\r\n";
  return Text + Body;
}

} // namespace

/// One caller's connection. Its pending asynchronous operations and the
/// response handler of its job own it.
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
    Context_ = std::string(Parser_->get()[ContextField]);
    if (handleInternalEndpoint(Request))
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
      return write(
          responseText(400, R"({"error":"malformed X-Child header"})"));
    }
    // A job that was refused has already sent its response.
    if (!Job_.expired())
      watchForClose();
  }

  /// Serves the endpoints for health, records and control, which need no slot.
  /// Returns false for any other request.
  bool handleInternalEndpoint(const BackendRequest &Request) {
    const std::string &Target = Request.Target_;
    if (Target == "/health" || Target == "/load")
      write(responseText(200, Server_.loadJson()));
    else if (Target == "/runs")
      write(responseText(200, Server_.runsJson()));
    else if (Target == "/stats")
      write(responseText(200, Server_.statsJson()));
    else if (Target == "/control" && Request.Method_ == "POST")
      control(Request.Body_);
    else
      return false;
    return true;
  }

  void control(const std::string &Body) {
    try {
      Server_.control(Body);
      write(responseText(200, "{}"));
    } catch (const std::exception &Error) {
      write(responseText(400, R"({"error":"malformed control object"})"));
    }
  }

  /// Waits for the caller to close the connection while a job is in progress,
  /// and cancels the job in this case. Bytes of a pipelined request end the
  /// wait; they are read after the response.
  void watchForClose() {
    WatchingForClose_ = true;
    Socket_.async_wait(asio::socket_base::wait_read,
                       [Self = shared_from_this()](error_code Error) {
                         Self->WatchingForClose_ = false;
                         if (!Error && !Self->Job_.expired() &&
                             Self->closedByPeer())
                           Self->cancelJob();
                         else if (Self->ResponsePending_)
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
    ResponseText_ = responseText(
        Status, Body, Server_.Options_.RepeatsContext_ ? Context_ : "");
    ResponsePending_ = true;
    error_code Ignored;
    if (WatchingForClose_)
      Socket_.cancel(Ignored);
    else
      writeAnswer();
  }

  void writeAnswer() {
    ResponsePending_ = false;
    if (Server_.CloseBeforeAnswerCount_ > 0) {
      --Server_.CloseBeforeAnswerCount_;
      return close();
    }
    if (Server_.CloseMidAnswerCount_ > 0) {
      --Server_.CloseMidAnswerCount_;
      error_code Ignored;
      asio::write(Socket_,
                  asio::buffer(ResponseText_.data(), ResponseText_.size() / 2),
                  Ignored);
      return close();
    }
    write(std::move(ResponseText_));
    scheduleSurplus();
  }

  /// Writes the surplus answer after its delay, unless the connection is closed
  /// before.
  void scheduleSurplus() {
    const SurplusAnswer &Surplus = Server_.Options_.Surplus_;
    if (Surplus.Status_ == 0)
      return;
    auto Text = std::make_shared<std::string>(
        responseText(Surplus.Status_, R"({"surplus":true})",
                     Surplus.RepeatsContext_ ? Context_ : ""));
    auto Timer = std::make_shared<asio::steady_timer>(Server_.Io_,
                                                      toChrono(Surplus.Delay_));
    Timer->async_wait([Self = shared_from_this(), Timer, Text](error_code) {
      error_code Ignored;
      asio::write(Self->Socket_, asio::buffer(*Text), Ignored);
    });
  }

  void write(std::string Text) {
    ResponseText_ = std::move(Text);
    asio::async_write(Socket_, asio::buffer(ResponseText_),
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
  /// The job in progress. Its handler owns the connection, so the connection
  /// must not own the job.
  std::weak_ptr<BackendJob> Job_;
  std::string Context_;
  std::string ResponseText_;
  bool KeepAlive_ = true;
  bool WatchingForClose_ = false;
  /// The response is complete and is written once the wait for the caller's
  /// close has ended.
  bool ResponsePending_ = false;
};

void serveBackendConnection(BackendServer::Impl &Server,
                            asio::ip::tcp::socket Socket) {
  std::make_shared<BackendConnection>(Server, std::move(Socket))->readRequest();
}

} // namespace coltsfoot
