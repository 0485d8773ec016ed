#pragma once

#include "coltsfootpoint/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <string_view>

namespace coltsfoot {

/// Token buckets that bound the extra arrivals at each service, that is, the
/// arrivals beyond the first one of each request. The bound holds over all
/// entries together although they exchange nothing but membership.
///
/// The load that it answers: a service that rejects much of its work for some
/// seconds. Fewer requests reach it then, because the calls that would have
/// followed are never made, just when extra arrivals are needed most. A request
/// therefore earns a part of its tokens at once and the rest one window later,
/// so that the budget of the first window of trouble is that of the time before
/// it. Whichever entries the requests pass, the extra arrivals of any window
/// are at most a weighted mean of the earnings of that window and of the one
/// before it, plus the tokens that the entries held at its start.
///
/// An entry holds at most its share of the tokens that the whole fleet may save
/// plus what it earned within the last two slots. Where that is less than one
/// token, a request for a token is granted with the probability of the fraction
/// held, and the fraction is taken whatever the result: without this, the
/// smallest amount that each entry has to save, one token, would grow with the
/// fleet.
///
/// A repeated run of a request repeats the nested calls that it makes. charge()
/// accounts for those: it takes tokens of the services called even if too few
/// are left, and spend() fails for a service in debt until it has earned the
/// debt back.
///
/// A new process starts without tokens. Thread-safe: one mutex, which is never
/// held during a call to other code.
class RetryBudget {
public:
  using Generator = std::mt19937_64;

  struct Options {
    /// Tokens earned by one request, at once and later together.
    double TokensPerRequest_ = 0.1;
    /// Most tokens that one node saves for a service.
    double MaxTokens_ = 2;
    /// Most tokens that all nodes together save for a service; 0 for no limit.
    double FleetTokens_ = 0;
    /// The time by which the late part of the tokens is delayed.
    Millis Window_ = Millis(10'000);
    /// Part of the tokens that is earned at once.
    double ImmediateShare_ = 0.25;
    bool operator==(const Options &) const = default;
  };

  explicit RetryBudget(Options Given) : Options_(Given) {}

  /// Sets the number of nodes among which the fleet's saved tokens are divided;
  /// less than 1 counts as 1.
  void setFleetSize(int Nodes);

  /// Adds what one received request for a service earns. Now is Clock::now().
  void earn(std::string_view Service, Millis Now);
  /// Takes one token for an extra arrival. Returns false, with no token taken,
  /// when too few are held. Reserve, from 0 to 1, is the part of the largest
  /// balance that has to stay for more urgent requests.
  bool spend(std::string_view Service, double Reserve, Millis Now,
             Generator &Random);
  /// Returns how many tokens spend() needs to find for this reserve while a
  /// service may hold Limit tokens at most.
  static double needed(double Reserve, double Limit);
  /// Takes tokens for extra arrivals that can no longer be prevented. A
  /// shortfall becomes debt.
  void charge(std::string_view Service, double Tokens, Millis Now);

  /// The tokens of a service and the most that it may hold at present.
  struct Balance {
    double Tokens_ = 0; ///< Negative while the service is in debt.
    double Limit_ = 0;
    bool operator==(const Balance &) const = default;
  };
  Balance balance(std::string_view Service, Millis Now);

private:
  static constexpr int SlotsPerWindow = 40;
  /// One slot more than a window, as the slot of Now is still being filled.
  static constexpr int SlotCount = SlotsPerWindow + 1;

  /// What the requests of one slot of time earned.
  struct Slot {
    int64_t Index_ = -1;  ///< Number of the slot since the clock's start.
    double Delayed_ = 0;  ///< Tokens that become available a window later.
    double Credited_ = 0; ///< Tokens that became available in this slot.
  };
  struct Bucket {
    double Tokens_ = 0;
    /// The delayed tokens of slots before this one have become available.
    int64_t NextDue_ = 0;
    std::array<Slot, SlotCount> Slots_;
  };

  Bucket &bucketAt(std::string_view Service, Millis Now);
  int64_t slotIndex(Millis Time) const;
  static Slot &slot(Bucket &Of, int64_t Index);
  void credit(Bucket &To, double Tokens, int64_t Index) const;
  double limit(Bucket &Of, int64_t Index) const;
  double savedLimit() const;

  const Options Options_;
  mutable std::mutex Mutex_;
  int FleetSize_ = 1;
  std::map<std::string, Bucket, std::less<>> Buckets_;
};

} // namespace coltsfoot
