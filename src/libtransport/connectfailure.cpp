#include "connectfailure.h"

#include <boost/system/errc.hpp>

namespace coltsfoot {

namespace errc = boost::system::errc;

ConnectFailure connectFailureOf(const boost::system::error_code &Error) {
  if (Error == errc::too_many_files_open ||
      Error == errc::too_many_files_open_in_system ||
      Error == errc::no_buffer_space || Error == errc::not_enough_memory ||
      Error == errc::address_not_available)
    return ConnectFailure::LocalShortage;
  if (Error == errc::connection_refused)
    return ConnectFailure::Refused;
  return Error == errc::timed_out ? ConnectFailure::TimedOut
                                  : ConnectFailure::Other;
}

std::string_view connectFailureName(ConnectFailure Kind) {
  switch (Kind) {
  case ConnectFailure::LocalShortage:
    return "local-shortage";
  case ConnectFailure::Refused:
    return "refused";
  case ConnectFailure::TimedOut:
    return "timed-out";
  case ConnectFailure::Other:
    return "other";
  }
  return "other";
}

} // namespace coltsfoot
