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
constexpr size_t ReadBytes = 16 * 1024;

std::chrono::steady_clock::duration duration(Millis Time) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(Time.count()));
}

/// One connection whose operations block until they are done or too late.
class Connection {
public:
  explicit Connection(const IpPort &Node) : Node_(Node) {}

  /// The time for all operations from now on.
  void expireAfter(Millis Time) { Stream_.expires_after(duration(Time)); }

  void connect() {
    asio::ip::tcp::endpoint Target(asio::ip::make_address(Node_.Ip_),
                                   Node_.Port_);
    error_code Error =
        await([&](auto Done) { Stream_.async_connect(Target, Done); });
    if (Error)
      throw NodeNotReached(Node_.text() + ": " + Error.message());
  }

  void send(const NodeCommand &Command) {
    http::request<http::string_body> Message;
    Message.version(11);
    Message.method_string(Command.Method_);
    Message.target(Command.Target_);
    Message.set(http::field::host, Node_.text());
    Message.set(http::field::connection, "close");
    for (const HttpField &Field : Command.Fields_)
      Message.set(Field.Name_, Field.Value_);
    Message.body() = Command.Body_;
    Message.prepare_payload();
    // A node may refuse a request before it has taken all of it; the answer
    // tells then.
    await([&](auto Done) { http::async_write(Stream_, Message, Done); });
  }

  template <typename Parser> error_code readHeader(Parser &Into) {
    return await([&](auto Done) {
      http::async_read_header(Stream_, Buffer_, Into, Done);
    });
  }

  template <typename Parser> error_code readSome(Parser &Into) {
    return await([&](auto Done) {
      http::async_read_some(Stream_, Buffer_, Into, Done);
    });
  }

  template <typename Parser> error_code readAll(Parser &Into) {
    return await(
        [&](auto Done) { http::async_read(Stream_, Buffer_, Into, Done); });
  }

  [[noreturn]] void lost(const error_code &Error) const {
    throw NodeAnswerLost(Node_.text() + ": " + Error.message());
  }

private:
  template <typename Start> error_code await(Start Begin) {
    error_code Result;
    Io_.restart();
    Begin([&Result](error_code Error, size_t = 0) { Result = Error; });
    Io_.run();
    return Result;
  }

  const IpPort &Node_;
  asio::io_context Io_;
  beast::tcp_stream Stream_{Io_};
  beast::flat_buffer Buffer_;
};

template <typename Message> Answer toAnswer(const Message &From) {
  Answer Result;
  Result.Status_ = static_cast<int>(From.result_int());
  for (const auto &Field : From)
    Result.Fields_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Result;
}

/// Hands over the whole lines of a text and keeps what is left.
void passLines(std::string &Text,
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

Answer sendToNode(const IpPort &Node, const NodeCommand &Command,
                  Millis Timeout) {
  Connection Link(Node);
  Link.expireAfter(Timeout);
  Link.connect();
  Link.send(Command);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxBodyBytes);
  error_code Error = Link.readAll(Parser);
  if (Error)
    Link.lost(Error);
  Answer Result = toAnswer(Parser.get());
  Result.Body_ = std::move(Parser.get().body());
  return Result;
}

Answer streamFromNode(const IpPort &Node, const NodeCommand &Command,
                      Millis HeaderTimeout, Millis IdleTime,
                      const std::function<void(std::string_view)> &OnLine) {
  Connection Link(Node);
  Link.expireAfter(HeaderTimeout);
  Link.connect();
  Link.send(Command);
  http::response_parser<http::buffer_body> Parser;
  Parser.body_limit(boost::none);
  error_code Error = Link.readHeader(Parser);
  if (Error)
    Link.lost(Error);
  Answer Result = toAnswer(Parser.get());
  bool Good = Result.Status_ == 200;
  std::string Text;
  std::array<char, ReadBytes> Bytes;
  while (!Error && !Parser.is_done()) {
    Link.expireAfter(IdleTime);
    Parser.get().body().data = Bytes.data();
    Parser.get().body().size = Bytes.size();
    Error = Link.readSome(Parser);
    if (Error == http::error::need_buffer)
      Error = {};
    Text.append(Bytes.data(), Bytes.size() - Parser.get().body().size);
    if (Good)
      passLines(Text, OnLine);
    else if (Text.size() > MaxBodyBytes)
      break;
  }
  if (!Good)
    Result.Body_ = std::move(Text);
  return Result;
}

} // namespace coltsfoot
