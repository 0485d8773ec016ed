#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// A connection to the backend server that knows which requests it has carried.
/// A late answer on it may repeat the id of any of these, so a request with the
/// same id needs another connection. Not thread-safe.
class UpstreamSocket : public boost::asio::ip::tcp::socket {
public:
  using boost::asio::ip::tcp::socket::socket;

  /// Records a request by the hash of its id.
  void addRequest(std::string_view Id) { Requests_.push_back(hashOf(Id)); }
  /// Returns whether a request with this id was recorded. May also return true
  /// for another id with the same hash.
  bool hasCarried(std::string_view Id) const {
    return std::find(Requests_.begin(), Requests_.end(), hashOf(Id)) !=
           Requests_.end();
  }
  /// Returns whether another request may follow; the number of recorded
  /// requests is limited.
  bool hasRoom() const { return Requests_.size() < MaxRequests; }

private:
  static constexpr size_t MaxRequests = 1000;

  static size_t hashOf(std::string_view Id) {
    return std::hash<std::string_view>()(Id);
  }

  std::vector<size_t> Requests_;
};

} // namespace coltsfoot
