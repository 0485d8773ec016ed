#include "codec.h"

#include "coltsfoot_types.h"

#include <algorithm>
#include <memory>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace coltsfoot {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr int MaxMessageBytes = 64 * 1024 * 1024;
constexpr int MaxRecursion = 8;
/// Bounds memory use: Thrift allocates the announced number of elements before
/// it reads them.
constexpr size_t MaxContainerElements = 100'000;

std::shared_ptr<TConfiguration> limits() {
  static const auto Limits = std::make_shared<TConfiguration>(
      MaxMessageBytes, MaxMessageBytes, MaxRecursion);
  return Limits;
}

template <typename T> void append(std::string &Out, const T &Message) {
  auto Buffer = std::make_shared<TMemoryBuffer>(limits());
  Protocol Writer(Buffer);
  Message.write(&Writer);
  uint8_t *Bytes = nullptr;
  uint32_t Size = 0;
  Buffer->getBuffer(&Bytes, &Size);
  Out.append(reinterpret_cast<const char *>(Bytes), Size);
}

template <typename T> T decode(std::string_view Payload) {
  T Message;
  try {
    auto *Bytes = const_cast<uint8_t *>(
        reinterpret_cast<const uint8_t *>(Payload.data()));
    auto Buffer = std::make_shared<TMemoryBuffer>(
        Bytes, static_cast<uint32_t>(Payload.size()), TMemoryBuffer::OBSERVE,
        limits());
    // Each element takes at least one byte, and no string is longer than the
    // payload. To Thrift, a limit of zero means no limit.
    auto Size = static_cast<int32_t>(Payload.size());
    auto Elements = static_cast<int32_t>(
        std::clamp<size_t>(Payload.size(), 1, MaxContainerElements));
    Protocol Reader(Buffer, std::max(Size, 1), Elements);
    Message.read(&Reader);
    if (Buffer->available_read() != 0)
      throw CodecError("trailing bytes after the message");
  } catch (const CodecError &) {
    throw;
  } catch (const std::exception &Error) {
    throw CodecError(Error.what());
  }
  return Message;
}

} // namespace

void appendFrame(std::string &Out, const wire::Frame &Message) {
  size_t Start = Out.size();
  Out.append(4, '\0');
  append(Out, Message);
  auto Size = static_cast<uint32_t>(Out.size() - Start - 4);
  for (size_t I = 0; I < 4; ++I)
    Out[Start + I] = static_cast<char>(Size >> (24 - 8 * I));
}

wire::Frame decodeFrame(std::string_view Payload) {
  auto Message = decode<wire::Frame>(Payload);
  const auto &Set = Message.__isset;
  int Count = int(Set.hello) + int(Set.offer) + int(Set.reply) +
              int(Set.inquiry) + int(Set.cancel) + int(Set.config_fetch) +
              int(Set.config_batch) + int(Set.heartbeat) +
              int(Set.status_fetch) + int(Set.status_batch) +
              int(Set.freshness_fetch) + int(Set.freshness_batch) +
              int(Set.allowance_ask) + int(Set.allowance_grant);
  if (Count != 1)
    throw CodecError("expected exactly one message in a frame");
  return Message;
}

std::string encodeDatagram(const wire::Datagram &Message) {
  std::string Out;
  append(Out, Message);
  return Out;
}

wire::Datagram decodeDatagram(std::string_view Payload) {
  return decode<wire::Datagram>(Payload);
}

} // namespace coltsfoot
