#pragma once

#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <cstdint>

namespace coltsfoot {

/// Bounds how many bytes several unfinished messages hold together, so that
/// peers which send without end can't exhaust the memory of the process.
/// Thread-safe.
class ByteBudget
    : public boost::intrusive_ref_counter<ByteBudget,
                                          boost::thread_safe_counter> {
public:
  explicit ByteBudget(size_t LimitBytes) : LimitBytes_(LimitBytes) {}
  ByteBudget(const ByteBudget &) = delete;
  ByteBudget &operator=(const ByteBudget &) = delete;

  /// Returns how many bytes all reservations hold.
  size_t usedBytes() const { return UsedBytes_; }
  /// Returns how many bytes they can hold at most.
  size_t limitBytes() const { return LimitBytes_; }
  /// Returns how often a reservation did not get additional bytes.
  uint64_t refusals() const { return Refusals_; }

  /// The bytes that one message holds; they are free again when it is
  /// destroyed. Not thread-safe.
  class Reservation {
  public:
    /// Starts with no bytes. Without a budget, any size is granted.
    explicit Reservation(boost::intrusive_ptr<ByteBudget> Budget);
    ~Reservation();
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;

    /// Changes the size of the reservation. Returns false and changes nothing
    /// if the budget does not have the additional bytes.
    bool resize(size_t Bytes);

  private:
    const boost::intrusive_ptr<ByteBudget> Budget_;
    size_t Bytes_ = 0;
  };

private:
  bool take(size_t Bytes);
  void giveBack(size_t Bytes) { UsedBytes_ -= Bytes; }

  const size_t LimitBytes_;
  std::atomic<size_t> UsedBytes_ = 0;
  std::atomic<uint64_t> Refusals_ = 0;
};

} // namespace coltsfoot
