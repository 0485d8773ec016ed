#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Bounds the arrivals beyond the first of each request at a service, over all
/// entries together and without any exchange between them.
///
/// Each entry earns a part of a token for each request that it takes for a
/// service and spends one for each further arrival there. What it may save up
/// is limited. Over any span the fleet's further arrivals are hence at most
/// the earned part of its requests plus what the entries had saved, whoever
/// is killed or cut off meanwhile. A fresh process starts without tokens.
///
/// A repeated run repeats the calls that it makes. charge() is for those: it
/// takes from the services below without asking, and a service in debt grants
/// nothing until it has earned that back. Entries do not call it yet.
///
/// Thread-safe: one mutex, under which nothing else is called.
class RetryBudget {
public:
  struct Options {
    double Earned_ = 0.1; ///< Tokens for each request.
    double Saved_ = 2;    ///< Most tokens that a service keeps.
    bool operator==(const Options &) const = default;
  };

  explicit RetryBudget(Options Given) : Options_(Given) {}

  /// Notes a request for a service.
  void earn(std::string_view Service);
  /// Takes a token for a further arrival. Returns false when there is none.
  bool spend(std::string_view Service);
  /// Takes tokens for arrivals that can't be prevented any more; what is
  /// missing becomes debt.
  void charge(std::string_view Service, double Tokens);
  /// Returns what a service has; below zero in debt.
  double tokens(std::string_view Service) const;

private:
  double &known(std::string_view Service);

  const Options Options_;
  mutable std::mutex Mutex_;
  std::map<std::string, double, std::less<>> Tokens_;
};

} // namespace coltsfoot
