#include "gossipwire.h"

#include "coltsfoot_types.h"

namespace coltsfoot {

namespace {

constexpr size_t MaxAddressBytes = 64;
constexpr size_t MaxNameBytes = 128;
/// Far below the maximum of the type, so that a node can always exceed an
/// accepted generation in order to refute it.
constexpr int64_t MaxGeneration = int64_t(1) << 53;

size_t varintSize(uint64_t Value) {
  size_t Size = 1;
  while (Value >= 0x80) {
    Value >>= 7;
    ++Size;
  }
  return Size;
}

/// Returns the size of an integer field of Thrift's compact protocol, including
/// its header of one byte.
size_t integerSize(int64_t Value) {
  auto Zigzag =
      (static_cast<uint64_t>(Value) << 1) ^ static_cast<uint64_t>(Value >> 63);
  return 1 + varintSize(Zigzag);
}

size_t textSize(const std::string &Text) {
  return 1 + varintSize(Text.size()) + Text.size();
}

} // namespace

wire::WireMember toWire(const Member &M) {
  wire::WireMember Message;
  Message.node = M.Node_;
  Message.incarnation = static_cast<int64_t>(M.Incarnation_);
  Message.generation = M.Generation_;
  Message.state = static_cast<int>(M.State_);
  Message.zone = M.Zone_;
  Message.region = M.Region_;
  Message.service_name = M.Service_;
  Message.slots = M.Slots_;
  Message.config_offset = M.ConfigOffset_;
  return Message;
}

std::optional<Member> fromWire(const wire::WireMember &Message) {
  int State = Message.state;
  bool Valid = !Message.node.empty() &&
               Message.node.size() <= MaxAddressBytes &&
               Message.zone.size() <= MaxNameBytes &&
               Message.region.size() <= MaxNameBytes &&
               Message.service_name.size() <= MaxNameBytes &&
               Message.generation >= 0 && Message.generation < MaxGeneration &&
               State >= 0 && State <= static_cast<int>(MemberState::Dead) &&
               Message.slots >= 0 && Message.config_offset >= 0;
  if (!Valid)
    return std::nullopt;
  Member M;
  M.Node_ = Message.node;
  M.Incarnation_ = static_cast<Incarnation>(Message.incarnation);
  M.Generation_ = Message.generation;
  M.State_ = static_cast<MemberState>(State);
  M.Zone_ = Message.zone;
  M.Region_ = Message.region;
  M.Service_ = Message.service_name;
  M.Slots_ = Message.slots;
  M.ConfigOffset_ = Message.config_offset;
  return M;
}

wire::ConfigRecord toWire(const GossipRecord &Record) {
  wire::ConfigRecord Message;
  Message.offset = Record.Offset_;
  Message.data = Record.Data_;
  return Message;
}

std::optional<GossipRecord> fromWire(const wire::ConfigRecord &Message) {
  if (Message.offset < 0)
    return std::nullopt;
  return GossipRecord{Message.offset, Message.data};
}

size_t wireSize(const Member &M) {
  constexpr size_t StateBytes = 2;
  constexpr size_t StopBytes = 1;
  return textSize(M.Node_) + integerSize(static_cast<int64_t>(M.Incarnation_)) +
         integerSize(M.Generation_) + StateBytes + textSize(M.Zone_) +
         textSize(M.Region_) + textSize(M.Service_) + integerSize(M.Slots_) +
         integerSize(M.ConfigOffset_) + StopBytes;
}

size_t wireSize(const GossipRecord &Record) {
  constexpr size_t StopBytes = 1;
  return integerSize(Record.Offset_) + textSize(Record.Data_) + StopBytes;
}

} // namespace coltsfoot
