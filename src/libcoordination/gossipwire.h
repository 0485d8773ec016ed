#pragma once

#include "gossip.h"

#include <cstddef>

namespace coltsfoot {

namespace wire {
class ConfigRecord;
class Datagram;
class WireMember;
} // namespace wire

// Conversions between the membership types and their Thrift messages.

/// Returns the wire form of a member.
wire::WireMember toWire(const Member &M);
/// Returns the member that a message holds, or nothing if one of its fields is
/// outside its valid range.
std::optional<Member> fromWire(const wire::WireMember &Message);

/// Returns the wire form of a configuration record.
wire::ConfigRecord toWire(const GossipRecord &Record);
/// Returns the record that a message holds, or nothing if its offset is
/// negative.
std::optional<GossipRecord> fromWire(const wire::ConfigRecord &Message);

/// Returns the encoded size of a member within a datagram, in bytes.
size_t wireSize(const Member &M);
/// Returns the encoded size of a record within a datagram, in bytes.
size_t wireSize(const GossipRecord &Record);

} // namespace coltsfoot
