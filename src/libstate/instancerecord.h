#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfoot {

/// One run of a backend server. The start time distinguishes runs that use the
/// same instance id.
struct InstanceIncarnation {
  std::string Id_;
  /// Wall-clock time of the start in milliseconds; 0 when a report does not
  /// carry it. Such a report is matched with the known incarnation by id.
  int64_t StartWallMs_ = 0;
  bool operator==(const InstanceIncarnation &) const = default;
};

/// The phase of an incarnation according to its report.
enum class InstancePhase { Ready, Leaving, Gone };

/// Tracks the incarnation and phase of the backend server beside a node.
///
/// Reports may be late, repeated, out of order or from an incarnation that has
/// ended. A later incarnation replaces an earlier one. Within an incarnation
/// the greatest sequence number wins, and an incarnation that has started to
/// leave never becomes ready again. As the sender's clock may have been set
/// back between two incarnations, one with an earlier start time is accepted
/// once the current one is gone or its lease has expired.
/// Not thread-safe.
class InstanceRecord {
public:
  /// A report with a sequence number up to this is among the first of its
  /// incarnation.
  static constexpr int64_t MaxInitialSequence = 1;

  /// The effect of a report.
  enum class Effect {
    Ignored, ///< From an earlier incarnation, or superseded in the current one.
    Renewed, ///< Confirms the current incarnation and phase.
    Changed  ///< A new incarnation, or a new phase of the current one.
  };

  /// Applies a report. Sequence is absent when the report carries none, as the
  /// final report of an incarnation does; the report then counts as the newest.
  /// LeaseExpired tells that the current incarnation has not reported for
  /// longer than its lease.
  Effect processReport(const InstanceIncarnation &Reported, InstancePhase Phase,
                       std::optional<int64_t> Sequence, bool LeaseExpired);

  /// Returns the current incarnation, or nothing before the first report.
  const std::optional<InstanceIncarnation> &incarnation() const {
    return Incarnation_;
  }
  InstancePhase phase() const { return Phase_; }

private:
  bool isCurrent(const InstanceIncarnation &Reported,
                 std::optional<int64_t> Sequence) const;
  bool replaces(const InstanceIncarnation &Reported, InstancePhase Phase,
                std::optional<int64_t> Sequence, bool LeaseExpired) const;

  std::optional<InstanceIncarnation> Incarnation_;
  InstancePhase Phase_ = InstancePhase::Ready;
  int64_t Sequence_ = 0;
};

} // namespace coltsfoot
