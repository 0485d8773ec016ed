#pragma once

#include "coltsfootpoint/time.h"
#include "coltsfootpoint/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfoot {

/// One request of a generated load.
struct LoadRequest {
  std::string Ip_ = "127.0.0.1";
  uint16_t Port_ = 0;
  std::string Method_ = "GET";
  std::string Target_ = "/";
  std::vector<HttpField> Fields_;
  std::string Body_;
  Millis Timeout_{5000};
};

/// The outcome of a request. Without a complete response, the status is 0.
struct LoadResult {
  int Status_ = 0;
  std::vector<HttpField> Fields_;
  std::string Body_;
  Millis Latency_;
  /// Whether there was a connection to the server. Without one, no byte of the
  /// request was sent.
  bool Connected_ = false;

  /// Returns the first value of a header field, whose name is compared without
  /// regard to case; empty when the field is absent.
  std::string header(std::string_view Name) const;
};

/// Sends many requests concurrently over keep-alive connections, on its own
/// threads. Thread-safe.
class LoadClient {
public:
  using Handler = std::function<void(const LoadResult &)>;

  explicit LoadClient(int Threads = 1);
  /// Abandons the requests in flight; their handlers are not called.
  ~LoadClient();
  LoadClient(const LoadClient &) = delete;
  LoadClient &operator=(const LoadClient &) = delete;

  /// Sends a request immediately. The handler is called on a thread of the
  /// client.
  void send(LoadRequest Request, Handler OnEnd);
  /// Calls a function after a delay, on a thread of the client.
  void after(Millis Delay, std::function<void()> Callback);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
