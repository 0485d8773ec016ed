#pragma once

#include "codec.h"
#include "coltsfoot_types.h"
#include "rawsocket.h"

#include <optional>
#include <string>

namespace coltsfoot {

constexpr int TestProtocolVersion = 1;

inline wire::Hello testHello(const std::string &Node, int64_t Incarnation,
                             int Version = TestProtocolVersion) {
  wire::Hello HelloMessage;
  HelloMessage.__set_version(Version);
  HelloMessage.__set_node(Node);
  HelloMessage.__set_incarnation(Incarnation);
  return HelloMessage;
}

inline std::string encoded(const wire::Frame &Message) {
  std::string Bytes;
  appendFrame(Bytes, Message);
  return Bytes;
}

inline std::string helloBytes(int64_t Incarnation,
                              int Version = TestProtocolVersion) {
  wire::Frame Message;
  Message.__set_hello(testHello("127.0.0.1:1", Incarnation, Version));
  return encoded(Message);
}

inline wire::Frame offerFrame(std::string Body = {}) {
  wire::Offer Offer;
  Offer.body = std::move(Body);
  wire::Frame Message;
  Message.__set_offer(Offer);
  return Message;
}

inline wire::Frame replyFrame(int64_t Attempt, std::string Body = {}) {
  wire::Reply Reply;
  Reply.attempt = Attempt;
  Reply.body = std::move(Body);
  wire::Frame Message;
  Message.__set_reply(Reply);
  return Message;
}

inline std::string heartbeatBytes(int64_t Sequence, bool Answer) {
  wire::Heartbeat HeartbeatMessage;
  HeartbeatMessage.__set_sequence(Sequence);
  HeartbeatMessage.__set_answer(Answer);
  wire::Frame Message;
  Message.__set_heartbeat(HeartbeatMessage);
  return encoded(Message);
}

/// Returns the next frame of a raw connection, or nullopt when the connection
/// ends or no whole frame arrives in time.
inline std::optional<wire::Frame> receiveFrame(RawSocket &Peer) {
  std::string Length = Peer.receiveExactly(4);
  if (Length.size() < 4)
    return {};
  size_t Size = 0;
  for (char Byte : Length)
    Size = Size << 8U | static_cast<unsigned char>(Byte);
  std::string Payload = Peer.receiveExactly(Size);
  if (Payload.size() < Size)
    return {};
  return decodeFrame(Payload);
}

/// Returns the next frame that is not a heartbeat, or nullopt as receiveFrame()
/// does. Unless AnswerHeartbeats is false, answers the heartbeats that come
/// before it.
inline std::optional<wire::Frame>
receiveNonHeartbeat(RawSocket &Peer, bool AnswerHeartbeats = true) {
  for (auto Next = receiveFrame(Peer); Next; Next = receiveFrame(Peer)) {
    if (!Next->__isset.heartbeat)
      return Next;
    if (AnswerHeartbeats && !Next->heartbeat.answer)
      Peer.send(heartbeatBytes(Next->heartbeat.sequence, true));
  }
  return {};
}

} // namespace coltsfoot
