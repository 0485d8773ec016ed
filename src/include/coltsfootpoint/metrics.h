#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// One label of a metric.
struct MetricLabel {
  std::string Name_;
  std::string Value_;
  auto operator<=>(const MetricLabel &) const = default;
};

using MetricLabels = std::vector<MetricLabel>;

/// A counter that only increases. Thread-safe. It is sharded, so that threads
/// mostly add to separate cache lines.
class Counter {
public:
  virtual ~Counter() = default;
  virtual void add(uint64_t Count = 1) = 0;
  virtual uint64_t value() const = 0;
};

/// A histogram of durations. Thread-safe and lock-free.
class LatencyHistogram {
public:
  virtual ~LatencyHistogram() = default;
  virtual void record(Millis Time) = 0;
  /// Returns the number of recorded durations.
  virtual uint64_t count() const = 0;
  /// Returns the quantile for a share of 0 to 1, such as 0.99, interpolated
  /// within a bucket. Returns zero when nothing has been recorded.
  virtual Millis quantile(double Share) const = 0;
};

/// The metrics of one process. Thread-safe: one mutex guards the list of
/// metrics. It is not held while a counter or histogram is updated or a gauge
/// is read.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Returns the counter with this name and these labels; the first call
  /// creates it. The reference is valid for the lifetime of this object, so
  /// callers should keep it. Throws std::logic_error when the name is in use
  /// for a metric of another type with these labels.
  Counter &counter(std::string_view Name, std::string_view Help,
                   const MetricLabels &Labels = {});
  /// Returns the histogram with this name and these labels; otherwise like
  /// counter().
  LatencyHistogram &histogram(std::string_view Name, std::string_view Help,
                              const MetricLabels &Labels = {});
  /// Registers a gauge, whose value Read returns when the metrics are exported.
  /// Read may be called from any thread until this object is destroyed. The
  /// gauge replaces an earlier gauge of the same name and labels. No counter or
  /// histogram of that name and labels may exist: references to it would become
  /// invalid.
  void gauge(std::string_view Name, std::string_view Help,
             const MetricLabels &Labels, std::function<double()> Read);

  /// Returns all metrics in the text format of Prometheus. Durations are in
  /// seconds, as Prometheus recommends.
  std::string prometheusText() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
