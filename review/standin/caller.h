/// A client of the platform, which sends requests to the node of its machine.
#pragma once

#include "http.h"

namespace review {

/// What became of one client attempt.
struct Attempt {
  std::string Id_;
  Clock::time_point Sent_;
  Clock::time_point Ended_;
  /// The status of the whole answer; 0 when the connection ended without one,
  /// -1 when the client gave up at its deadline, -2 without a connection.
  int Status_ = 0;
  /// Whether the connection had been used before.
  bool Kept_ = false;
  bool Signed_ = false;
};

/// Sends one attempt at a time over a connection that it keeps. Not
/// thread-safe.
class Caller {
public:
  Caller(std::string Ip, uint16_t Port, std::string Host, Record &Log);

  Attempt call(const std::string &Method, const std::string &Path,
               const std::string &Id, Milliseconds Deadline,
               const std::string &Body = "");

private:
  const std::string Ip_;
  const uint16_t Port_;
  const std::string Host_;
  Record &Log_;
  std::unique_ptr<Stream> Connection_;
};

} // namespace review
