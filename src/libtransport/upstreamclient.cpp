#include "upstreamclient.h"

#include "timer.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// A kept connection that no call uses.
struct Kept {
  std::unique_ptr<beast::tcp_stream> Stream_;
  Millis Since_;
};

Answer toAnswer(http::response<http::string_body> &&Message) {
  Answer Result;
  Result.Status_ = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Result.Fields_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Result.Body_ = std::move(Message.body());
  return Result;
}

/// Whether a kept connection can take a request: nothing to read and not
/// closed by the other side.
bool isQuiet(beast::tcp_stream &Stream) {
  error_code Failure;
  char Byte = 0;
  Stream.socket().non_blocking(true, Failure);
  Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                          Failure);
  return Failure == asio::error::would_block;
}

} // namespace

struct UpstreamClient::Shared
    : boost::intrusive_ref_counter<Shared, boost::thread_safe_counter> {
  class Exchange;

  Shared(asio::io_context &Context, Options Limits)
      : Context_(Context), Options_(Limits),
        MaxConnections_(Limits.Connections_) {}

  /// Returns a kept connection to the target, or a new unconnected one.
  std::unique_ptr<beast::tcp_stream> takeStream(bool &Connected,
                                                tcp::endpoint &Target);
  void keep(std::unique_ptr<beast::tcp_stream> Stream,
            const tcp::endpoint &Target);

  asio::io_context &Context_;
  const Options Options_;
  const SystemClock Clock_;
  std::mutex Mutex_; // guards the members below
  tcp::endpoint Target_;
  size_t MaxConnections_;
  std::vector<Kept> Kept_;
};

std::unique_ptr<beast::tcp_stream>
UpstreamClient::Shared::takeStream(bool &Connected, tcp::endpoint &Target) {
  Millis Now = Clock_.now();
  std::lock_guard<std::mutex> Lock(Mutex_);
  Target = Target_;
  while (!Kept_.empty()) {
    Kept Latest = std::move(Kept_.back());
    Kept_.pop_back();
    if (Now - Latest.Since_ < Options_.KeptIdle_ && isQuiet(*Latest.Stream_)) {
      Connected = true;
      return std::move(Latest.Stream_);
    }
  }
  Connected = false;
  return std::make_unique<beast::tcp_stream>(asio::make_strand(Context_));
}

void UpstreamClient::Shared::keep(std::unique_ptr<beast::tcp_stream> Stream,
                                  const tcp::endpoint &Target) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Target == Target_ && Kept_.size() < MaxConnections_)
    Kept_.push_back({std::move(Stream), Clock_.now()});
}

/// One call; everything in it runs on the strand of its connection.
class UpstreamClient::Shared::Exchange : public UpstreamClient::Call {
public:
  using Pointer = boost::intrusive_ptr<Exchange>;

  Exchange(boost::intrusive_ptr<Shared> Client, UpstreamRequest Request,
           Millis TimeLimit, Handler OnEnd)
      : Client_(std::move(Client)), TimeLimit_(TimeLimit),
        Handler_(std::move(OnEnd)) {
    Request_.method_string(Request.Method_);
    Request_.target(Request.Target_);
    Request_.version(11);
    for (const HttpField &Field : Request.Fields_)
      Request_.insert(Field.Name_, Field.Value_);
    Request_.body() = std::move(Request.Body_);
    Request_.prepare_payload();
  }

  void run() {
    bool Connected = false;
    Stream_ = Client_->takeStream(Connected, Target_);
    Executor_ = Stream_->get_executor();
    asio::dispatch(Executor_, [Self = Pointer(this), Connected] {
      if (Connected)
        Self->write();
      else
        Self->connect();
    });
  }

  void cancel() override {
    asio::post(Stream_->get_executor(),
               [Self = Pointer(this)] { Self->fail(Reason::Cancelled); });
  }

private:
  void connect() {
    Stream_->expires_after(
        toChrono(std::min(TimeLimit_, Client_->Options_.Connect_)));
    Stream_->async_connect(
        Target_, [Self = Pointer(this)](const error_code &Error) {
          if (Error)
            return Self->fail(Reason::NoUpstream);
          error_code Ignored;
          Self->Stream_->socket().set_option(tcp::no_delay(true), Ignored);
          Self->write();
        });
  }

  void write() {
    if (!Handler_)
      return;
    Stream_->expires_after(toChrono(TimeLimit_));
    // From here on bytes may reach the backend server.
    Written_ = true;
    http::async_write(
        *Stream_, Request_,
        [Self = Pointer(this)](const error_code &Error, size_t Size) {
          if (!Error)
            return Self->read();
          Self->Written_ = Size > 0;
          Self->fail(Self->causeOf(Error));
        });
  }

  void read() {
    Parser_.body_limit(Client_->Options_.AnswerBytes_);
    if (Request_.method() == http::verb::head)
      Parser_.skip(true);
    http::async_read(*Stream_, Buffer_, Parser_,
                     [Self = Pointer(this)](const error_code &Error, size_t) {
                       Self->onAnswer(Error);
                     });
  }

  void onAnswer(const error_code &Error) {
    if (Error)
      return fail(causeOf(Error));
    // Without a length the end of the body is only the connection's end.
    if (Parser_.need_eof())
      return fail(Reason::UpstreamLost);
    bool KeepAlive = Parser_.get().keep_alive();
    if (!Handler_)
      return;
    Stream_->expires_never();
    if (KeepAlive && Buffer_.size() == 0)
      Client_->keep(std::move(Stream_), Target_);
    else
      Stream_->close();
    finish(Ran{toAnswer(Parser_.release())});
  }

  static Reason causeOf(const error_code &Error) {
    return Error == beast::error::timeout ? Reason::DeadlinePassed
                                          : Reason::UpstreamLost;
  }

  void fail(Reason Why) {
    if (!Handler_)
      return;
    Stream_->close();
    if (Written_)
      finish(MayHaveRun{Why});
    else
      finish(NotRun{Why});
  }

  void finish(Verdict Outcome) {
    Handler Callback = std::exchange(Handler_, nullptr);
    Callback(std::move(Outcome));
  }

  const boost::intrusive_ptr<Shared> Client_;
  const Millis TimeLimit_;
  Handler Handler_; // empty once called
  http::request<http::string_body> Request_;
  http::response_parser<http::string_body> Parser_;
  beast::flat_buffer Buffer_;
  std::unique_ptr<beast::tcp_stream> Stream_;
  // Outlives the stream, which goes back to the pool.
  asio::any_io_executor Executor_;
  tcp::endpoint Target_;
  bool Written_ = false;
};

UpstreamClient::UpstreamClient(asio::io_context &Context, Options Limits)
    : Shared_(new Shared(Context, Limits)) {}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::setTarget(const tcp::endpoint &Address,
                               size_t Connections) {
  std::lock_guard<std::mutex> Lock(Shared_->Mutex_);
  Shared_->MaxConnections_ = Connections;
  if (Shared_->Target_ == Address)
    return;
  Shared_->Target_ = Address;
  Shared_->Kept_.clear();
}

UpstreamClient::CallPointer
UpstreamClient::call(UpstreamRequest Request, Millis TimeLimit, Handler OnEnd) {
  boost::intrusive_ptr<Shared::Exchange> Call(new Shared::Exchange(
      Shared_, std::move(Request), TimeLimit, std::move(OnEnd)));
  Call->run();
  return Call;
}

} // namespace coltsfoot
