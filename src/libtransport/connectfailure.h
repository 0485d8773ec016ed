#pragma once

#include <array>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace coltsfoot {

/// Why a connection did not come about.
enum class ConnectFailure {
  LocalShortage, ///< This VM lacked a descriptor, a local port or memory.
  Refused,       ///< The other side's VM refused it.
  TimedOut,      ///< There was no answer within the time limit.
  Other,
};
inline constexpr size_t ConnectFailureKinds = 4;

/// Number of failures by kind; the index is the value of the ConnectFailure.
using ConnectFailureCounts = std::array<uint64_t, ConnectFailureKinds>;

/// Returns the kind of an error that ended the making of a connection.
ConnectFailure connectFailureOf(const boost::system::error_code &Error);

/// Returns the name of the kind in log lines and metrics.
std::string_view connectFailureName(ConnectFailure Kind);

} // namespace coltsfoot
