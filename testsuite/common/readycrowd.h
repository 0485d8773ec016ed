#pragma once

#include "coltsfootpoint/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <stdexcept>
#include <sys/eventfd.h>
#include <thread>

namespace coltsfoot {

/// A timer that expires, and then descriptors that become readable, more than
/// an event loop handles in several turns. All timers that have expired are
/// handled together with that one, so before what becomes ready after the
/// descriptors. Not thread-safe.
class ReadyCrowd {
public:
  explicit ReadyCrowd(boost::asio::io_context &Context) : Timer_(Context) {
    using Descriptor = boost::asio::posix::stream_descriptor;
    for (int I = 0; I < Size; ++I) {
      Descriptors_.emplace_back(Context, ::eventfd(0, EFD_NONBLOCK));
      Descriptors_.back().async_wait(Descriptor::wait_read,
                                     [](const boost::system::error_code &) {});
    }
  }

  /// Lets the timer expire and makes all descriptors readable. Blocks for a
  /// moment.
  void makeReady() {
    Timer_.expires_after(std::chrono::milliseconds(1));
    Timer_.async_wait([](const boost::system::error_code &) {});
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    for (auto &Each : Descriptors_)
      if (::eventfd_write(Each.native_handle(), 1) != 0)
        throw std::runtime_error("an eventfd can't be written");
  }

private:
  static constexpr int Size = 600;
  boost::asio::steady_timer Timer_;
  std::deque<boost::asio::posix::stream_descriptor> Descriptors_;
};

/// Blocks the thread a little longer than the span, as a process does that is
/// busy or suspended.
inline void sleepBeyond(Millis Span) {
  constexpr double Beyond = 1.2;
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Span.count() * Beyond));
}

} // namespace coltsfoot
