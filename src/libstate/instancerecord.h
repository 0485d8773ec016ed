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
/// Reports may be late, repeated, out of order, from an incarnation that has
/// ended, or from another writer. A later incarnation replaces an earlier one,
/// but while the current one is ready and its lease has not expired, one with
/// another id must be confirmed first. An incarnation that has started to leave
/// never becomes ready again, whatever the order of its reports. As the
/// sender's clock may have been set back between two incarnations, one with an
/// earlier start time is accepted once the current one is gone or its lease has
/// expired.
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
    Changed, ///< A new incarnation, or a new phase of the current one.
    /// Says that another instance is ready in place of the current one. Nothing
    /// has changed; see confirm().
    Unconfirmed,
    /// Says that an incarnation under the current one's id leaves that started
    /// earlier. It may be the one that runs, if another writer has named a
    /// later start.
    Doubted
  };

  /// Applies a report. Sequence is absent when the report carries none, as the
  /// final report of an incarnation does; the report then counts as the newest.
  /// LeaseExpired tells that the current incarnation has not reported for
  /// longer than its lease.
  Effect processReport(const InstanceIncarnation &Reported, InstancePhase Phase,
                       std::optional<int64_t> Sequence, bool LeaseExpired);
  /// Replaces the current incarnation by one whose ready report was
  /// unconfirmed, after it was found to run.
  void confirm(const InstanceIncarnation &Reported,
               std::optional<int64_t> Sequence);

  /// Returns the current incarnation, or nothing before the first report.
  const std::optional<InstanceIncarnation> &incarnation() const {
    return Incarnation_;
  }
  InstancePhase phase() const { return Phase_; }

private:
  bool isCurrent(const InstanceIncarnation &Reported,
                 std::optional<int64_t> Sequence) const;
  bool hasCurrentId(const InstanceIncarnation &Reported) const;
  bool hasLeft(const InstanceIncarnation &Reported,
               std::optional<int64_t> Sequence) const;
  bool replaces(const InstanceIncarnation &Reported, InstancePhase Phase,
                std::optional<int64_t> Sequence, bool LeaseExpired) const;
  Effect processOther(const InstanceIncarnation &Reported, InstancePhase Phase,
                      std::optional<int64_t> Sequence, bool LeaseExpired);
  Effect processCurrent(InstancePhase Phase, std::optional<int64_t> Sequence);

  std::optional<InstanceIncarnation> Incarnation_;
  InstancePhase Phase_ = InstancePhase::Ready;
  int64_t Sequence_ = 0;
  /// The latest incarnation that reported that it leaves without being the
  /// current one.
  InstanceIncarnation Left_;
};

} // namespace coltsfoot
