#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace coltsfoot {

namespace wire {
class Frame;
class Datagram;
} // namespace wire

/// Thrown by the decoders for bytes that are not exactly one valid message.
class CodecError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Appends a frame to a buffer: a four-byte big-endian length, then the message
/// in Thrift's compact protocol.
void appendFrame(std::string &Out, const wire::Frame &Message);

/// Decodes the payload of one frame, without its length prefix. Throws
/// CodecError when the payload is truncated, has trailing bytes or does not
/// hold exactly one message.
wire::Frame decodeFrame(std::string_view Payload);

/// Encodes one datagram.
std::string encodeDatagram(const wire::Datagram &Message);

/// Decodes one datagram. Throws CodecError when the payload is truncated, has
/// trailing bytes or is not a valid datagram.
wire::Datagram decodeDatagram(std::string_view Payload);

} // namespace coltsfoot
