#pragma once

#include "resource.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace coltsfoot {

/// Expected version of a change that applies to any version.
constexpr int64_t AnyVersion = -1;
/// Expected version of a change whose resource must not exist.
constexpr int64_t AbsentVersion = 0;

/// An operator's change of one resource, as recorded in the log.
struct Change {
  std::string Id_; ///< Unique; 1 to 64 letters, digits, `.`, `_` or `-`.
  ResourceKind Kind_ = ResourceKind::Service;
  std::string Name_;
  int64_t ExpectedVersion_ = AnyVersion;
  bool Delete_ = false;
  std::string Body_; ///< JSON text; empty in a deletion.
  bool operator==(const Change &) const = default;
};

/// The change took effect. Unless it deleted the resource, the resource got
/// this version.
struct Accepted {
  int64_t Version_ = 0;
  bool operator==(const Accepted &) const = default;
};

/// Why a change has no effect.
enum class RejectionCause {
  VersionMismatch, ///< The resource's version was not the expected one.
  Absent,          ///< The resource to delete does not exist.
  Invalid          ///< The name or body is invalid.
};

/// The change has no effect on any node, now or later. It is reported to
/// operators as `void`.
struct Rejected {
  RejectionCause Cause_ = RejectionCause::Invalid;
  std::string Reason_;
  /// The resource's version at the change's offset; 0 when it does not exist.
  int64_t CurrentVersion_ = 0;
  bool operator==(const Rejected &) const = default;
};

/// The result of applying a change.
using ChangeResult = std::variant<Accepted, Rejected>;

/// Returns the change as a log record, which decodeChange() reads.
std::string encodeChange(const Change &Value);

/// Returns the change in a log record, or nothing when the record is too long
/// or not JSON, or has unknown or missing keys or invalid values. Name and body
/// of the resource are not checked.
std::optional<Change> decodeChange(std::string_view Data);

} // namespace coltsfoot
