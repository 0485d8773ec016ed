#include "upstream.h"

#include "httpclient.h"
#include "timer.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr Millis ReportInterval(1500);
constexpr Millis ReportPoll(50);
constexpr uint64_t MaxBodyBytes = uint64_t{64} * 1024 * 1024;

/// Returns the number after `Key=` in the target, or 0 without one.
uint64_t numberIn(std::string_view Target, std::string_view Key) {
  size_t Position = Target.find(Key);
  if (Position == std::string_view::npos)
    return 0;
  return std::stoull(std::string(Target.substr(Position + Key.size())));
}

} // namespace

/// One connection, which serves one request at a time.
class Upstream::Session : public std::enable_shared_from_this<Session> {
public:
  Session(Upstream &Owner, tcp::socket Socket)
      : Owner_(Owner), Socket_(std::move(Socket)),
        Timer_(Socket_.get_executor()) {}

  void read() {
    Parser_.emplace();
    Parser_->body_limit(MaxBodyBytes);
    http::async_read(
        Socket_, Buffer_, *Parser_,
        [Self = shared_from_this()](const beast::error_code &Error, size_t) {
          if (!Error)
            Self->handle();
        });
  }

private:
  void handle() {
    const auto &Request = Parser_->get();
    std::string_view Target(Request.target().data(), Request.target().size());
    if (Target == "/health")
      return answer("200 OK", "Instance-Id: " + Owner_.Options_.Instance_ +
                                  "\r\nServer-Load: 0,0," +
                                  std::to_string(Owner_.Options_.Slots_));
    std::string Id(Request["Attempt-Id"]);
    std::string Echo = "Attempt-Id: " + Id;
    if (Request["Expected-Instance"] != Owner_.Options_.Instance_)
      return answer("421 Misdirected Request",
                    "Instance-Id: " + Owner_.Options_.Instance_ + "\r\n" +
                        Echo);
    int ShedEvery = Owner_.Options_.ShedEvery_;
    if (ShedEvery > 0 && ++Owner_.Requests_ % ShedEvery == 0)
      return shed(Echo);
    {
      std::lock_guard<std::mutex> Lock(Owner_.Mutex_);
      ++Owner_.Runs_[Id];
    }
    std::string Body = "ran " + Id + "\n";
    Body.resize(std::max<size_t>(Body.size(), numberIn(Target, "bytes=")), '.');
    Timer_.expires_after(
        std::chrono::milliseconds(numberIn(Target, "work-ms=")));
    Timer_.async_wait([Self = shared_from_this(), Echo, Id,
                       Body = std::move(Body)](const beast::error_code &) {
      Self->answer("200 OK", Echo + "\r\nServer-Signature: sig." + Id, Body);
    });
  }

  void shed(const std::string &Echo) {
    answer("503 Service Unavailable", "Request-Not-Executed: 1\r\n" + Echo);
    if (Owner_.Surplus_)
      Surplus_ = Bytes_;
  }

  std::string takeSurplus() {
    std::string Copy = std::exchange(Surplus_, "");
    if (Copy.empty() || !Owner_.Surplus_)
      return "";
    return Copy.substr(0, 1 + Owner_.SurplusCount_++ % Copy.size());
  }

  /// Sends an answer, after the surplus bytes that are due.
  void answer(const std::string &Status, const std::string &Fields,
              const std::string &Body = "") {
    Bytes_ = takeSurplus() + "HTTP/1.1 " + Status + "\r\n" + Fields +
             "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
             Body;
    asio::async_write(
        Socket_, asio::buffer(Bytes_),
        [Self = shared_from_this()](const beast::error_code &Error, size_t) {
          if (!Error)
            Self->read();
        });
  }

  Upstream &Owner_;
  tcp::socket Socket_;
  asio::steady_timer Timer_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  std::string Bytes_;
  std::string Surplus_;
};

Upstream::Upstream(Options UpstreamOptions)
    : Options_(std::move(UpstreamOptions)),
      Acceptor_(Context_,
                {asio::ip::make_address(Options_.Ip_), Options_.Port_}) {
  accept();
  Server_ = std::thread([this] { Context_.run(); });
}

Upstream::~Upstream() {
  Stopped_ = true;
  Context_.stop();
  Server_.join();
  if (Reporter_.joinable())
    Reporter_.join();
}

void Upstream::accept() {
  Acceptor_.async_accept(
      [this](const beast::error_code &Error, tcp::socket Socket) {
        if (!Error)
          std::make_shared<Session>(*this, std::move(Socket))->read();
        accept();
      });
}

void Upstream::startReports() {
  Reporter_ = std::thread([this] { report(); });
}

void Upstream::report() {
  int64_t Born = SystemClock().wallNow().whole();
  for (int64_t Sequence = 1; !Stopped_; ++Sequence) {
    boost::json::object Body{
        {"service", Options_.Service_},
        {"address", Options_.Ip_ + ":" + std::to_string(Options_.Port_)},
        {"zone", "kochi-a"},
        {"version", "v1"},
        {"slots", Options_.Slots_},
        {"state", "ready"},
        {"cold-remaining", "0ms"},
        {"sequence", Sequence},
        {"born", Born}};
    try {
      request(Options_.Ip_, Options_.ReportPort_, "POST",
              "/instances/" + Options_.Instance_ + "/heartbeat", {},
              boost::json::serialize(Body), Millis(1000));
    } catch (const HttpError &) {
      // The node is down; the next report comes at its time.
    }
    for (Millis Waited; Waited < ReportInterval && !Stopped_;
         Waited = Waited + ReportPoll)
      std::this_thread::sleep_for(toChrono(ReportPoll));
  }
}

int Upstream::runsOf(const std::string &Id) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Found = Runs_.find(Id);
  return Found == Runs_.end() ? 0 : Found->second;
}

} // namespace coltsfoot
