#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace coltsfoot {

/// What a socket holds that has not been read.
enum class InputState {
  Nothing, ///< The peer has sent nothing more and has closed nothing.
  Bytes,   ///< Bytes have arrived.
  Ended    ///< The peer has closed its sending direction, or the connection is
           ///< lost.
};

/// Returns the state without reading or waiting; one system call.
InputState inputState(boost::asio::ip::tcp::socket &Socket);

} // namespace coltsfoot
