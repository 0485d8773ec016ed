#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Token buckets that bound the extra arrivals at each service, that is, the
/// arrivals beyond the first one of each request. The bound holds over all
/// entries together although they exchange nothing.
///
/// Each entry earns a fraction of a token for each request that it receives
/// for a service and spends one token for each extra arrival there. The number
/// of tokens that it keeps is limited. Over any period, the extra arrivals of
/// the fleet are therefore at most the earned fraction of its requests plus the
/// tokens that the entries held at the start, even when entries are killed or
/// partitioned. A new process starts without tokens.
///
/// A repeated run of a request repeats the nested calls that it makes. charge()
/// accounts for those: it takes tokens of the services called even if too few
/// are left, and spend() fails for a service in debt until it has earned the
/// debt back. Entries do not call charge() yet.
///
/// Thread-safe: one mutex, which is never held during a call to other code.
class RetryBudget {
public:
  struct Options {
    double TokensPerRequest_ = 0.1; ///< Tokens earned by one request.
    double MaxTokens_ = 2;          ///< Most tokens kept for a service.
    bool operator==(const Options &) const = default;
  };

  explicit RetryBudget(Options Given) : Options_(Given) {}

  /// Adds the tokens that one received request for a service earns.
  void earn(std::string_view Service);
  /// Takes one token for an extra arrival. Returns false, with nothing taken,
  /// when less than one is available.
  bool spend(std::string_view Service);
  /// Takes tokens for extra arrivals that can no longer be prevented. A
  /// shortfall becomes debt.
  void charge(std::string_view Service, double Tokens);
  /// Returns the tokens of a service; negative while it is in debt.
  double tokens(std::string_view Service) const;

private:
  double &balanceOf(std::string_view Service);

  const Options Options_;
  mutable std::mutex Mutex_;
  std::map<std::string, double, std::less<>> Tokens_;
};

} // namespace coltsfoot
