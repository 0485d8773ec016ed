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

/// A number that only grows. Thread-safe; threads add to separate cache lines.
class Counter {
public:
  virtual ~Counter() = default;
  virtual void add(uint64_t Count = 1) = 0;
  virtual uint64_t value() const = 0;
};

/// A distribution of times. Thread-safe and lock-free.
class LatencyHistogram {
public:
  virtual ~LatencyHistogram() = default;
  virtual void record(Millis Time) = 0;
  /// Returns the number of times recorded.
  virtual uint64_t count() const = 0;
  /// Returns the time below which this share lies, 0 to 1, interpolated within
  /// a bucket; zero when nothing has been recorded.
  virtual Millis quantile(double Share) const = 0;
};

/// The metrics of one process. Thread-safe; one mutex guards the list of
/// metrics, which is held neither while counting nor while reading gauges.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Returns the counter of this name and these labels, made at the first call.
  /// The reference is good as long as the object; callers keep it.
  Counter &counter(std::string_view Name, std::string_view Help,
                   const MetricLabels &Labels = {});
  /// Returns the histogram of this name and these labels; as counter().
  LatencyHistogram &histogram(std::string_view Name, std::string_view Help,
                              const MetricLabels &Labels = {});
  /// Sets a function that gives a value at the time of reading. It is called
  /// from any thread, and until the object ends.
  void gauge(std::string_view Name, std::string_view Help,
             const MetricLabels &Labels, std::function<double()> Read);

  /// Returns all metrics in the text format of Prometheus. Times are given in
  /// seconds, as is the custom there.
  std::string prometheusText() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
