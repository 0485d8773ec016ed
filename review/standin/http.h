/// Blocking HTTP/1.1 over TCP for the stand-ins of the review.
#pragma once

#include "record.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A request or a response. Start_ is its first line.
struct Message {
  std::string Start_;
  Fields Fields_;
  std::string Body_;

  /// Returns the first value of a field, without regard to case; empty when it
  /// is absent.
  std::string field(std::string_view Name) const;
  /// Returns the word of the first line with this number, from 0.
  std::string word(int Number) const;
};

/// One TCP connection. Not thread-safe, except for abort().
class Stream {
public:
  explicit Stream(int Descriptor) : Descriptor_(Descriptor) {}
  ~Stream();
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  /// Reads a message. Returns nothing when the connection ends first or the
  /// time is over.
  std::optional<Message> read(Clock::time_point Until);
  /// Writes all bytes; returns whether that succeeded in time.
  bool write(std::string_view Bytes, Clock::time_point Until);
  /// Returns whether the other side has closed the connection.
  bool ended() const;
  /// Ends the connection; a read or write in progress fails.
  void abort() const;

private:
  bool fill(Clock::time_point Until);
  bool readBody(Message &Into, Clock::time_point Until);
  bool readChunks(Message &Into, Clock::time_point Until);

  const int Descriptor_;
  std::string Buffer_;
};

/// Connects; returns nothing when that fails or takes too long.
std::unique_ptr<Stream> connectTo(const std::string &Ip, uint16_t Port,
                                  Milliseconds Limit);

/// Returns the bytes of a message with a Content-Length.
std::string bytesOf(const Message &Item);

/// Accepts connections on a loopback address and serves each on a thread of its
/// own.
class Server {
public:
  using Handler = std::function<void(Stream &)>;

  /// Listens at once. With port 0, any free port is taken.
  Server(const std::string &Ip, uint16_t Port, Handler OnConnection);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  uint16_t port() const { return Port_; }
  /// Ends all connections and listens no longer.
  void stop();

private:
  void run();

  const Handler Handler_;
  int Listener_ = -1;
  uint16_t Port_ = 0;
  std::atomic<bool> Stopped_ = false;
  std::mutex Mutex_; // guards the members below
  std::list<std::unique_ptr<Stream>> Streams_;
  std::list<std::thread> Threads_;
  std::thread Acceptor_;
};

} // namespace review
