#pragma once

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot {

/// One request of a load.
struct LoadRequest {
  std::string Ip_ = "127.0.0.1";
  uint16_t Port_ = 0;
  std::string Method_ = "GET";
  std::string Target_ = "/";
  std::vector<HttpField> Fields_;
  std::string Body_;
  Millis Timeout_{5000};
};

/// How it ended. A request without a whole answer has status 0.
struct LoadResult {
  int Status_ = 0;
  std::vector<HttpField> Fields_;
  std::string Body_;
  Millis Latency_;

  /// Returns the first value of a field, without regard to case.
  std::string header(std::string_view Name) const;
};

/// Sends many requests at once over kept connections, on threads of its own.
/// Thread-safe.
class LoadClient {
public:
  using Handler = std::function<void(const LoadResult &)>;

  explicit LoadClient(int Threads = 1);
  /// Drops what is in flight.
  ~LoadClient();
  LoadClient(const LoadClient &) = delete;
  LoadClient &operator=(const LoadClient &) = delete;

  /// Sends a request at once; the handler is called on a thread of the client.
  void send(LoadRequest Request, Handler OnEnd);
  /// Calls a function after a time, on a thread of the client.
  void after(Millis Span, std::function<void()> Step);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
