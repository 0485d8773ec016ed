#pragma once

#include <boost/asio/io_context.hpp>

namespace coltsfoot {

/// Runs the context on Count threads, of which the caller's is one, and returns
/// when the context has been stopped or has no work left.
///
/// An exception that leaves a handler is logged as `handler_failed`, and the
/// thread goes on with the next handler. The step that failed is lost, so a
/// call may stay unanswered until its deadline; ending the process instead
/// would break off all calls that it holds. A fault that persists is logged at
/// a bounded rate: after some failures within a second, a thread pauses after
/// each further one.
void runWorkers(boost::asio::io_context &Context, int Count);

} // namespace coltsfoot
