#include "inputstate.h"

#include <cerrno>
#include <sys/socket.h>

namespace coltsfoot {

InputState inputState(boost::asio::ip::tcp::socket &Socket) {
  char Byte = 0;
  ssize_t Size =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Size > 0)
    return InputState::Bytes;
  bool Waiting =
      Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return Waiting ? InputState::Nothing : InputState::Ended;
}

} // namespace coltsfoot
