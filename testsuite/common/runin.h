#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <utility>

namespace coltsfoot {

/// Runs a function in the thread of an io_context and returns its result, or
/// throws what it throws. Blocks until then, so the io_context must be run by a
/// thread other than the caller's.
template <typename F> auto runIn(boost::asio::io_context &Io, F Function) {
  std::packaged_task<decltype(Function())()> Task(std::move(Function));
  auto Done = Task.get_future();
  boost::asio::post(Io, [&Task] { Task(); });
  return Done.get();
}

} // namespace coltsfoot
