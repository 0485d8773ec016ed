#include "coltsfootpoint/metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdio>
#include <map>
#include <mutex>
#include <stdexcept>
#include <variant>

namespace coltsfoot {

namespace histogram = boost::histogram;

namespace {

constexpr size_t CacheLineBytes = 64;
/// With more threads than this, some of them share a cache line.
constexpr size_t ShardCount = 8;
/// Histogram buckets from FirstBucketMs to LastBucketMs, each 1.09 times as
/// wide as the one before.
constexpr double FirstBucketMs = 0.05;
constexpr double LastBucketMs = 60'000;
constexpr unsigned TimeBucketCount = 160;
/// The export to Prometheus merges this many buckets into one.
constexpr int BucketsPerExportedBucket = 4;
constexpr double UsPerMs = 1000;

/// Returns the index of the counter shard that this thread uses.
size_t shardIndex() {
  static std::atomic<size_t> NextThread = 0;
  thread_local const size_t Index = NextThread++ % ShardCount;
  return Index;
}

class ShardedCounter : public Counter {
public:
  void add(uint64_t Count) override {
    Shards_[shardIndex()].Value_.fetch_add(Count, std::memory_order_relaxed);
  }
  uint64_t value() const override {
    uint64_t Sum = 0;
    for (const Shard &Each : Shards_)
      Sum += Each.Value_.load(std::memory_order_relaxed);
    return Sum;
  }

private:
  struct alignas(CacheLineBytes) Shard {
    std::atomic<uint64_t> Value_ = 0;
  };
  std::array<Shard, ShardCount> Shards_;
};

using LogAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using Cell = histogram::accumulators::count<uint64_t, true>;
using Storage = histogram::dense_storage<Cell>;

class BoostHistogram : public LatencyHistogram {
public:
  void record(Millis Time) override {
    Histogram_(std::max(Time.count(), 0.0));
    auto Us = static_cast<uint64_t>(std::max(Time.count(), 0.0) * UsPerMs);
    SumUs_.fetch_add(Us, std::memory_order_relaxed);
  }

  uint64_t count() const override {
    uint64_t Sum = 0;
    for (const Cell &Each : Histogram_)
      Sum += Each.value();
    return Sum;
  }

  Millis quantile(double Share) const override {
    auto TargetCount = Share * static_cast<double>(count());
    double CumulativeCount = 0;
    for (int Bin = -1; Bin <= bins(); ++Bin) {
      auto BinCount = static_cast<double>(at(Bin));
      if (BinCount > 0 && CumulativeCount + BinCount >= TargetCount)
        return interpolate(Bin, (TargetCount - CumulativeCount) / BinCount);
      CumulativeCount += BinCount;
    }
    return Millis();
  }

  /// Returns the number of buckets without the underflow and overflow buckets.
  int bins() const { return Histogram_.axis().size(); }
  /// Returns the count of a bucket; -1 is the underflow bucket and bins() the
  /// overflow bucket.
  uint64_t at(int Bin) const { return Histogram_.at(Bin).value(); }
  /// Returns the upper bound of a bucket, from the underflow bucket -1 on.
  double upperBoundMs(int Bin) const {
    return Histogram_.axis().value(Bin + 1);
  }
  double sumMs() const {
    return static_cast<double>(SumUs_.load(std::memory_order_relaxed)) /
           UsPerMs;
  }

private:
  Millis interpolate(int Bin, double Fraction) const {
    double Low = Bin < 0 ? 0 : upperBoundMs(Bin - 1);
    double High = Bin == bins() ? Low : upperBoundMs(Bin);
    return Millis(Low + (High - Low) * std::clamp(Fraction, 0.0, 1.0));
  }

  histogram::histogram<std::tuple<LogAxis>, Storage> Histogram_ =
      histogram::make_histogram_with(
          Storage(), LogAxis(TimeBucketCount, FirstBucketMs, LastBucketMs));
  std::atomic<uint64_t> SumUs_ = 0;
};

using Gauge = std::function<double()>;
using Metric = std::variant<std::unique_ptr<ShardedCounter>,
                            std::unique_ptr<BoostHistogram>, Gauge>;

/// All metrics with the same name.
struct MetricFamily {
  std::string Help_;
  std::map<MetricLabels, Metric> Metrics_;
};

std::string escaped(std::string_view Text, bool Quotes) {
  std::string Out;
  for (char C : Text) {
    if (C == '\n')
      Out += "\\n";
    else if (C == '\\' || (Quotes && C == '"'))
      (Out += '\\') += C;
    else
      Out += C;
  }
  return Out;
}

std::string number(double Value) {
  std::array<char, 32> Buffer;
  std::snprintf(Buffer.data(), Buffer.size(), "%.9g", Value);
  return Buffer.data();
}

/// Returns `{a="b",…}`, or an empty text without labels.
std::string labelText(const MetricLabels &Labels,
                      const std::string &UpperBound = {}) {
  std::string Out;
  for (const MetricLabel &Label : Labels) {
    Out += Out.empty() ? "{" : ",";
    Out += Label.Name_;
    Out += "=\"" + escaped(Label.Value_, true) + "\"";
  }
  if (!UpperBound.empty()) {
    Out += Out.empty() ? "{" : ",";
    Out += "le=\"" + UpperBound + "\"";
  }
  return Out.empty() ? Out : Out + "}";
}

void appendLine(std::string &Out, const std::string &Name,
                const std::string &Labels, const std::string &Value) {
  Out += Name;
  Out += Labels;
  Out += ' ';
  Out += Value;
  Out += '\n';
}

void appendMetric(std::string &Out, const std::string &Name,
                  const MetricLabels &Labels, const ShardedCounter &Each) {
  appendLine(Out, Name, labelText(Labels), std::to_string(Each.value()));
}

void appendMetric(std::string &Out, const std::string &Name,
                  const MetricLabels &Labels, const BoostHistogram &Each) {
  uint64_t Sum = 0;
  for (int Bin = -1; Bin < Each.bins(); ++Bin) {
    Sum += Each.at(Bin);
    if ((Bin + 1) % BucketsPerExportedBucket != 0)
      continue;
    appendLine(Out, Name + "_bucket",
               labelText(Labels, number(Each.upperBoundMs(Bin) / MsPerSecond)),
               std::to_string(Sum));
  }
  Sum += Each.at(Each.bins());
  appendLine(Out, Name + "_bucket", labelText(Labels, "+Inf"),
             std::to_string(Sum));
  appendLine(Out, Name + "_sum", labelText(Labels),
             number(Each.sumMs() / MsPerSecond));
  appendLine(Out, Name + "_count", labelText(Labels), std::to_string(Sum));
}

constexpr std::array<std::string_view, 3> TypeNames = {"counter", "histogram",
                                                       "gauge"};

} // namespace

class Metrics::Impl {
public:
  /// Returns the metric with this name and these labels, and creates it when
  /// there is none. Throws std::logic_error when it is of another type.
  template <typename T>
  T &metric(std::string_view Name, std::string_view Help,
            const MetricLabels &Labels) {
    std::lock_guard Guard(Lock_);
    MetricFamily &Family = Families_[std::string(Name)];
    if (Family.Help_.empty())
      Family.Help_ = Help;
    auto Position = Family.Metrics_.find(Labels);
    if (Position == Family.Metrics_.end())
      Position = Family.Metrics_.emplace(Labels, std::make_unique<T>()).first;
    auto *Found = std::get_if<std::unique_ptr<T>>(&Position->second);
    if (!Found)
      throw std::logic_error("metric " + std::string(Name) +
                             " is already registered with another type");
    return **Found;
  }

  std::mutex Lock_;
  std::map<std::string, MetricFamily> Families_;
};

Metrics::Metrics() : Impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

Counter &Metrics::counter(std::string_view Name, std::string_view Help,
                          const MetricLabels &Labels) {
  return Impl_->metric<ShardedCounter>(Name, Help, Labels);
}

LatencyHistogram &Metrics::histogram(std::string_view Name,
                                     std::string_view Help,
                                     const MetricLabels &Labels) {
  return Impl_->metric<BoostHistogram>(Name, Help, Labels);
}

void Metrics::gauge(std::string_view Name, std::string_view Help,
                    const MetricLabels &Labels, std::function<double()> Read) {
  std::lock_guard Guard(Impl_->Lock_);
  MetricFamily &Family = Impl_->Families_[std::string(Name)];
  Family.Help_ = Help;
  Family.Metrics_.insert_or_assign(Labels, std::move(Read));
}

std::string Metrics::prometheusText() const {
  // Counters and histograms are never removed, so pointers to them stay valid
  // without the lock. Gauges are copied, because their functions must not be
  // called with the lock held.
  struct Entry {
    const std::string *Name_;
    const std::string *Help_;
    const MetricLabels *Labels_;
    std::variant<const ShardedCounter *, const BoostHistogram *, Gauge> Metric_;
  };
  std::vector<Entry> Entries;
  {
    std::lock_guard Guard(Impl_->Lock_);
    for (const auto &[Name, Family] : Impl_->Families_)
      for (const auto &[Labels, Each] : Family.Metrics_) {
        Entry Added{&Name, &Family.Help_, &Labels, {}};
        if (const auto *C = std::get_if<0>(&Each))
          Added.Metric_ = C->get();
        else if (const auto *H = std::get_if<1>(&Each))
          Added.Metric_ = H->get();
        else
          Added.Metric_ = std::get<2>(Each);
        Entries.push_back(std::move(Added));
      }
  }
  std::string Out;
  const std::string *Last = nullptr;
  for (const Entry &Each : Entries) {
    const std::string &Name = *Each.Name_;
    if (Each.Name_ != Last) {
      Out += "# HELP " + Name + " " + escaped(*Each.Help_, false) + "\n";
      Out += "# TYPE " + Name + " ";
      Out += TypeNames[Each.Metric_.index()];
      Out += '\n';
    }
    Last = Each.Name_;
    std::visit(
        [&](const auto &Found) {
          if constexpr (std::is_same_v<std::decay_t<decltype(Found)>, Gauge>)
            appendLine(Out, Name, labelText(*Each.Labels_), number(Found()));
          else
            appendMetric(Out, Name, *Each.Labels_, *Found);
        },
        Each.Metric_);
  }
  return Out;
}

} // namespace coltsfoot
