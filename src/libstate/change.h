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

/// One operator's change of one resource, as it stands in the log.
struct Change {
  std::string Id_; ///< Unique; 1 to 64 letters, digits, `.`, `_` or `-`.
  ResourceKind Kind_ = ResourceKind::Service;
  std::string Name_;
  int64_t ExpectedVersion_ = AnyVersion;
  bool Delete_ = false;
  std::string Body_; ///< JSON text; empty in a deletion.
  bool operator==(const Change &) const = default;
};

/// The change is in force; the resource has this version.
struct Accepted {
  int64_t Version_ = 0;
  bool operator==(const Accepted &) const = default;
};

/// Why a record has no effect.
enum class VoidCause {
  VersionMismatch, ///< The resource's version was not the expected one.
  Absent,          ///< The resource to delete does not exist.
  Invalid          ///< The name or body can't be accepted.
};

/// The change has no effect, on any node, and never will have.
struct Void {
  VoidCause Cause_ = VoidCause::Invalid;
  std::string Reason_;
  int64_t Current_ = 0; ///< Version at that offset, 0 when absent.
  bool operator==(const Void &) const = default;
};

/// What the fold made of a change.
using ChangeResult = std::variant<Accepted, Void>;

/// Returns the change as one log record. The inverse is decodeChange.
std::string encodeChange(const Change &Value);

/// Returns the change in a log record, or nothing when the record is none: not
/// JSON, unknown or missing keys, wrong types or too long.
std::optional<Change> decodeChange(std::string_view Data);

} // namespace coltsfoot
