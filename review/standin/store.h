/// A stand-in of the platform's metadata store, with the topic that the nodes
/// read: `keyed.op` with the operator's configuration.
#pragma once

#include "http.h"

#include <condition_variable>

namespace review {

/// Answers `log-newest` and `log-read`. Thread-safe.
class Store {
public:
  explicit Store(const std::string &Ip);
  ~Store();
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  std::string address() const;
  /// Appends a record with the key `config`. Its return is the ack.
  void putConfig(const std::string &Json);

private:
  void serve(Stream &Connection);
  Message answer(const Message &Request);
  std::string newest() const;
  std::string recordsFrom(size_t From) const;

  const std::string Ip_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<std::string> Configs_;
  bool Stopped_ = false;
  Server Server_; // last, so that it is stopped first
};

} // namespace review
