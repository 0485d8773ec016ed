#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";

sockaddr_in addressOf(const std::string &Ip, uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  if (inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr) != 1)
    throw std::runtime_error("no IPv4 address: " + Ip);
  return Address;
}

/// Waits until the descriptor is ready; returns false when the time is over.
bool waitFor(int Descriptor, short Events, Clock::time_point Until) {
  for (;;) {
    auto Left = std::chrono::ceil<Milliseconds>(Until - Clock::now()).count();
    if (Left <= 0)
      return false;
    pollfd Poll{Descriptor, Events, 0};
    int Ready = ::poll(&Poll, 1, static_cast<int>(Left));
    if (Ready > 0)
      return true;
    if (Ready < 0 && errno != EINTR)
      return false;
  }
}

} // namespace

std::string Message::field(std::string_view Name) const {
  for (const auto &[Key, Value] : Fields_)
    if (Key.size() == Name.size() &&
        strncasecmp(Key.data(), Name.data(), Name.size()) == 0)
      return Value;
  return {};
}

std::string Message::word(int Number) const {
  std::string_view Rest = Start_;
  for (int I = 0; I < Number; ++I) {
    size_t Space = Rest.find(' ');
    Rest = Space == std::string_view::npos ? "" : Rest.substr(Space + 1);
  }
  return std::string(Rest.substr(0, Rest.find(' ')));
}

Stream::~Stream() { ::close(Descriptor_); }

void Stream::abort() const { ::shutdown(Descriptor_, SHUT_RDWR); }

bool Stream::ended() const {
  char Byte = 0;
  ssize_t Size = ::recv(Descriptor_, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Size == 0 || (Size < 0 && errno != EAGAIN && errno != EINTR);
}

bool Stream::fill(Clock::time_point Until) {
  constexpr size_t ChunkBytes = size_t{256} * 1024;
  if (!waitFor(Descriptor_, POLLIN, Until))
    return false;
  size_t Used = Buffer_.size();
  Buffer_.resize(Used + ChunkBytes);
  ssize_t Size =
      ::recv(Descriptor_, Buffer_.data() + Used, ChunkBytes, MSG_DONTWAIT);
  Buffer_.resize(Used + static_cast<size_t>(std::max<ssize_t>(0, Size)));
  return Size > 0 || (Size < 0 && (errno == EAGAIN || errno == EINTR));
}

std::optional<Message> Stream::read(Clock::time_point Until) {
  size_t End = Buffer_.find(HeadEnd);
  while (End == std::string::npos) {
    if (!fill(Until))
      return {};
    End = Buffer_.find(HeadEnd);
  }
  Message Result;
  std::string Head = Buffer_.substr(0, End + LineEnd.size());
  Buffer_.erase(0, End + HeadEnd.size());
  for (size_t Start = 0; Start < Head.size();) {
    size_t Stop = Head.find(LineEnd, Start);
    std::string Line = Head.substr(Start, Stop - Start);
    Start = Stop + LineEnd.size();
    size_t Colon = Line.find(':');
    if (Result.Start_.empty()) {
      Result.Start_ = std::move(Line);
    } else if (Colon != std::string::npos) {
      size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Result.Fields_.emplace_back(
          Line.substr(0, Colon),
          Value == std::string::npos ? "" : Line.substr(Value));
    }
  }
  bool Whole = Result.field("Transfer-Encoding").empty()
                   ? readBody(Result, Until)
                   : readChunks(Result, Until);
  return Whole ? std::optional(std::move(Result)) : std::nullopt;
}

bool Stream::readBody(Message &Into, Clock::time_point Until) {
  std::string Length = Into.field("Content-Length");
  size_t Size = Length.empty() ? 0 : std::stoull(Length);
  Buffer_.reserve(Size);
  while (Buffer_.size() < Size)
    if (!fill(Until))
      return false;
  Into.Body_ = Buffer_.substr(0, Size);
  Buffer_.erase(0, Size);
  return true;
}

bool Stream::readChunks(Message &Into, Clock::time_point Until) {
  for (;;) {
    size_t End = Buffer_.find(LineEnd);
    if (End == std::string::npos) {
      if (!fill(Until))
        return false;
      continue;
    }
    size_t Size = std::stoull(Buffer_.substr(0, End), nullptr, 16);
    size_t Needed = End + LineEnd.size() + Size + LineEnd.size();
    while (Buffer_.size() < Needed)
      if (!fill(Until))
        return false;
    Into.Body_ += Buffer_.substr(End + LineEnd.size(), Size);
    Buffer_.erase(0, Needed);
    if (Size == 0)
      return true;
  }
}

bool Stream::write(std::string_view Bytes, Clock::time_point Until) {
  while (!Bytes.empty()) {
    if (!waitFor(Descriptor_, POLLOUT, Until))
      return false;
    ssize_t Size = ::send(Descriptor_, Bytes.data(), Bytes.size(),
                          MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Size > 0)
      Bytes.remove_prefix(static_cast<size_t>(Size));
    else if (Size < 0 && errno != EAGAIN && errno != EINTR)
      return false;
  }
  return true;
}

std::unique_ptr<Stream> connectTo(const std::string &Ip, uint16_t Port,
                                  Milliseconds Limit) {
  int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return nullptr;
  auto Result = std::make_unique<Stream>(Descriptor);
  ::fcntl(Descriptor, F_SETFL, O_NONBLOCK);
  sockaddr_in Address = addressOf(Ip, Port);
  int Failed = ::connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                         sizeof Address);
  if (Failed != 0 && errno != EINPROGRESS)
    return nullptr;
  if (!waitFor(Descriptor, POLLOUT, Clock::now() + Limit))
    return nullptr;
  int Error = 0;
  socklen_t Size = sizeof Error;
  ::getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size);
  if (Error != 0)
    return nullptr;
  int On = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Result;
}

std::string bytesOf(const Message &Item) {
  std::string Bytes = Item.Start_ + "\r\n";
  for (const auto &[Name, Value] : Item.Fields_) {
    Bytes += Name;
    Bytes += ": ";
    Bytes += Value;
    Bytes += LineEnd;
  }
  Bytes += "Content-Length: " + std::to_string(Item.Body_.size());
  Bytes += HeadEnd;
  return Bytes + Item.Body_;
}

Server::Server(const std::string &Ip, uint16_t Port, Handler OnConnection)
    : Handler_(std::move(OnConnection)) {
  constexpr int Backlog = 512;
  Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Address = addressOf(Ip, Port);
  socklen_t Size = sizeof Address;
  auto *Plain = reinterpret_cast<sockaddr *>(&Address);
  if (::bind(Listener_, Plain, Size) != 0 ||
      ::listen(Listener_, Backlog) != 0 ||
      ::getsockname(Listener_, Plain, &Size) != 0)
    throw std::runtime_error("can't listen on " + Ip);
  Port_ = ntohs(Address.sin_port);
  Acceptor_ = std::thread([this] { run(); });
}

Server::~Server() {
  stop();
  for (std::thread &Each : Threads_)
    Each.join();
  ::close(Listener_);
}

void Server::run() {
  while (!Stopped_) {
    int Descriptor = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor < 0)
      continue;
    auto Accepted = std::make_unique<Stream>(Descriptor);
    int On = 1;
    ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Stopped_)
      return;
    Stream *Each = Accepted.get();
    Streams_.push_back(std::move(Accepted));
    Threads_.emplace_back([this, Each] {
      Handler_(*Each);
      std::unique_ptr<Stream> Ended;
      std::lock_guard<std::mutex> Guard(Mutex_);
      auto Found = std::find_if(Streams_.begin(), Streams_.end(),
                                [&](const auto &S) { return S.get() == Each; });
      Ended = std::move(*Found);
      Streams_.erase(Found);
    });
  }
}

void Server::stop() {
  if (Stopped_.exchange(true))
    return;
  ::shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (const auto &Each : Streams_)
    Each->abort();
}

} // namespace review
