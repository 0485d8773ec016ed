#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfoot {

/// One life of a backend server: the name that it gives itself and the time of
/// its start, which tells two lives under one name apart.
struct InstanceLife {
  std::string Id_;
  /// 0 where a report does not tell; it then speaks of the known life of that
  /// name.
  int64_t BornWallMs_ = 0;
  bool operator==(const InstanceLife &) const = default;
};

/// What a report says of the life of its sender.
enum class InstancePhase { Ready, Leaving, Gone };

/// Decides which reports of the backend server beside a node still hold.
///
/// Reports may be late, repeated, out of order, or of a life that has ended.
/// A later life replaces an earlier one; within a life the greatest sequence
/// number holds, and a life that has begun to leave never becomes ready again.
/// Since the sender's time of day may have been set back between two lives,
/// one that seems earlier is taken once the known one is over or silent.
/// Not thread-safe.
class InstanceRecord {
public:
  /// A report with a number up to this is among the first of its life.
  static constexpr int64_t EarlySequence = 1;

  /// What a report changes.
  enum class Effect {
    Ignored, ///< Of an earlier life, or older than what is known of this one.
    Renewed, ///< Confirms what is known.
    Changed  ///< A new life, or a new phase of the present one.
  };

  /// Takes a report. Sequence is absent where a report carries none, as the
  /// last one of a life does; it then counts as the newest. Silent says that
  /// the known life has not reported for longer than it ever should.
  Effect take(const InstanceLife &Life, InstancePhase Phase,
              std::optional<int64_t> Sequence, bool Silent);

  /// Returns the present life, or nothing before the first report.
  const std::optional<InstanceLife> &life() const { return Life_; }
  InstancePhase phase() const { return Phase_; }

private:
  bool isKnown(const InstanceLife &Life, std::optional<int64_t> Sequence) const;
  bool replaces(const InstanceLife &Life, InstancePhase Phase,
                std::optional<int64_t> Sequence, bool Silent) const;

  std::optional<InstanceLife> Life_;
  InstancePhase Phase_ = InstancePhase::Ready;
  int64_t Sequence_ = 0;
};

} // namespace coltsfoot
