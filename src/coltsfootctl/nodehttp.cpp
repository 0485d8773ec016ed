#include "nodehttp.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <optional>

namespace coltsfoot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
constexpr size_t ReadBufferBytes = 16 * 1024;
/// Limit of received bytes that the parser has not consumed: a response head,
/// chunk header or trailer must fit in it.
constexpr size_t MaxUnparsedBytes = size_t{64} * 1024;
constexpr size_t MaxLineBytes = size_t{4} * 1024 * 1024;
constexpr int FirstFinalStatus = 200;

std::chrono::steady_clock::duration duration(Millis Time) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(Time.count()));
}

/// A connection whose operations block until they complete or time out.
class Connection {
public:
  explicit Connection(const IpPort &Node) : Node_(Node) {}

  /// Limits the total time of all operations until it is called again.
  void expireAfter(Millis Time) { Stream_.expires_after(duration(Time)); }

  void connect() {
    asio::ip::tcp::endpoint Target(asio::ip::make_address(Node_.Ip_),
                                   Node_.Port_);
    error_code Error =
        await([&](auto Done) { Stream_.async_connect(Target, Done); });
    if (Error)
      throw NodeUnreachable(Node_.text() + ": " + Error.message());
  }

  void send(const NodeRequest &Request) {
    http::request<http::string_body> Message;
    Message.version(11);
    Message.method_string(Request.Method_);
    Message.target(Request.Target_);
    Message.set(http::field::host, Node_.text());
    Message.set(http::field::connection, "close");
    for (const HttpField &Field : Request.Fields_)
      Message.set(Field.Name_, Field.Value_);
    Message.body() = Request.Body_;
    Message.prepare_payload();
    // A failed write isn't an error yet: a node may refuse a request and close
    // before it has read all of it. Its response then gives the reason.
    await([&](auto Done) { http::async_write(Stream_, Message, Done); });
  }

  template <typename Parser> error_code readHeader(Parser &Output) {
    return await([&](auto Done) {
      http::async_read_header(Stream_, Buffer_, Output, Done);
    });
  }

  template <typename Parser> error_code readSome(Parser &Output) {
    return await([&](auto Done) {
      http::async_read_some(Stream_, Buffer_, Output, Done);
    });
  }

  template <typename Parser> error_code readAll(Parser &Output) {
    return await(
        [&](auto Done) { http::async_read(Stream_, Buffer_, Output, Done); });
  }

  [[noreturn]] void throwResponseLost(const error_code &Error) const {
    throw NodeResponseLost(Node_.text() + ": " + Error.message());
  }

private:
  template <typename Initiator> error_code await(Initiator Begin) {
    error_code Result;
    Io_.restart();
    Begin([&Result](error_code Error, size_t = 0) { Result = Error; });
    Io_.run();
    return Result;
  }

  const IpPort &Node_;
  asio::io_context Io_;
  beast::tcp_stream Stream_{Io_};
  beast::flat_buffer Buffer_{MaxUnparsedBytes};
};

template <typename Message> Answer copyStatusAndFields(const Message &From) {
  Answer Result;
  Result.Status_ = static_cast<int>(From.result_int());
  for (const auto &Field : From)
    Result.Fields_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Result;
}

/// Passes the complete lines of a text to the callback, without empty ones, and
/// keeps the incomplete rest.
void deliverLines(std::string &Text,
                  const std::function<void(std::string_view)> &OnLine) {
  size_t Begin = 0;
  for (size_t End = Text.find('\n'); End != std::string::npos;
       End = Text.find('\n', Begin)) {
    std::string_view Line(Text.data() + Begin, End - Begin);
    if (!Line.empty())
      OnLine(Line);
    Begin = End + 1;
  }
  Text.erase(0, Begin);
}

} // namespace

Answer sendToNode(const IpPort &Node, const NodeRequest &Request,
                  Millis Timeout) {
  Connection Conn(Node);
  Conn.expireAfter(Timeout);
  Conn.connect();
  Conn.send(Request);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxBodyBytes);
  error_code Error = Conn.readAll(Parser);
  if (Error)
    Conn.throwResponseLost(Error);
  Answer Result = copyStatusAndFields(Parser.get());
  if (Result.Status_ < FirstFinalStatus)
    throw NodeResponseLost(Node.text() + ": received an interim response");
  Result.Body_ = std::move(Parser.get().body());
  return Result;
}

Answer streamFromNode(const IpPort &Node, const NodeRequest &Request,
                      Millis HeaderTimeout, Millis IdleTime,
                      const std::function<void(std::string_view)> &OnLine) {
  Connection Conn(Node);
  Conn.expireAfter(HeaderTimeout);
  Conn.connect();
  Conn.send(Request);
  http::response_parser<http::buffer_body> Parser;
  Parser.body_limit(boost::none);
  error_code Error = Conn.readHeader(Parser);
  if (Error)
    Conn.throwResponseLost(Error);
  Answer Result = copyStatusAndFields(Parser.get());
  bool Succeeded = Result.Status_ == 200;
  std::string Text;
  std::array<char, ReadBufferBytes> Bytes;
  while (!Error && !Parser.is_done()) {
    Conn.expireAfter(IdleTime);
    Parser.get().body().data = Bytes.data();
    Parser.get().body().size = Bytes.size();
    Error = Conn.readSome(Parser);
    if (Error == http::error::need_buffer)
      Error = {};
    Text.append(Bytes.data(), Bytes.size() - Parser.get().body().size);
    if (Succeeded)
      deliverLines(Text, OnLine);
    if (Text.size() > (Succeeded ? MaxLineBytes : MaxBodyBytes))
      break;
  }
  if (!Succeeded)
    Result.Body_ = std::move(Text);
  return Result;
}

} // namespace coltsfoot
