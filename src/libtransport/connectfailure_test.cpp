#include "connectfailure.h"

#include <boost/asio/error.hpp>
#include <cerrno>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

ConnectFailure kindOf(int Number) {
  return connectFailureOf({Number, boost::system::system_category()});
}

} // namespace

TEST_CASE("failures to connect are told apart by their cause") {
  for (int Number : {EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL})
    CHECK(kindOf(Number) == ConnectFailure::LocalShortage);
  CHECK(kindOf(ECONNREFUSED) == ConnectFailure::Refused);
  CHECK(kindOf(ETIMEDOUT) == ConnectFailure::TimedOut);
  CHECK(kindOf(EHOSTUNREACH) == ConnectFailure::Other);
  CHECK(connectFailureOf(boost::asio::error::timed_out) ==
        ConnectFailure::TimedOut);
}
