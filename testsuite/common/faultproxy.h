#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace coltsfoot {

/// The direction of traffic through a proxy: from the peer that connected to
/// the target, back from the target, or both.
enum class Direction { ToTarget, FromTarget, Both };

/// The connections that a fault applies to: those that are open, those that are
/// accepted later, or both. Datagrams belong to no connection; only faults for
/// All connections apply to them.
enum class ConnectionSet { Existing, New, All };

/// A TCP and UDP proxy that injects network faults between the processes of a
/// test. It listens on one loopback address, with the same port number for both
/// protocols.
///
/// The proxy runs on its own thread. All methods are thread-safe. A fault is in
/// effect when the method that sets it returns. The proxy connects and sends to
/// the target from its own address. Until setTarget() is called, it resets
/// connections and drops datagrams.
class FaultProxy {
public:
  /// Binds a port of the address that is free for both protocols. Throws when
  /// there is none.
  explicit FaultProxy(const std::string &Ip = "127.0.0.1");
  ~FaultProxy();
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;

  /// Returns the port number, which both protocols share.
  uint16_t port() const;
  /// Returns `ip:port`.
  std::string address() const;

  /// Sets the target of later connections and datagrams.
  void setTarget(const std::string &Ip, uint16_t Port);

  /// Delays bytes and datagrams; zero ends the delay. The bytes of a connection
  /// keep their order.
  void delay(Millis Time, Direction Way = Direction::Both,
             ConnectionSet Set = ConnectionSet::All);
  /// Discards bytes and datagrams. The connections stay open, and a close by
  /// one end is not passed on to the other.
  void blackhole(Direction Way, ConnectionSet Set);
  /// Resets existing connections at once, and new ones as soon as they are
  /// accepted.
  void disconnect(ConnectionSet Set);
  /// Passes on this many more bytes of each connection in the direction, then
  /// resets the connection when a further byte arrives. With Direction::Both,
  /// each direction has its own count.
  void disconnectAfterBytes(Direction Way, uint64_t Count,
                            ConnectionSet Set = ConnectionSet::All);
  /// Resets new connections as soon as they are accepted.
  void refuseNew(bool Refuse);
  /// Sends bytes of the proxy's own to the peers of all open connections, as a
  /// target does that writes what nobody asked for.
  void sendToPeers(const std::string &Bytes);
  /// Restricts all faults to connections and datagrams from these source
  /// addresses; an empty set removes the restriction.
  void limitToSources(std::set<std::string> SourceIps);
  /// Sends each datagram twice.
  void duplicateUdp(bool Duplicate);
  /// Drops a random share of the datagrams, from 0 to 1. The seed makes the
  /// sequence reproducible.
  void dropUdp(double Share, uint64_t Seed);
  /// Ends all faults and the restriction to source addresses. Connections that
  /// have lost bytes can't be repaired and are reset.
  void heal();

  /// Returns the number of connections that are currently open.
  size_t connections() const;
  /// Returns the number of connections accepted so far, including those that
  /// were then reset.
  uint64_t accepted() const;
  /// Returns the number of bytes that TCP connections have passed on in a
  /// direction.
  uint64_t passedBytes(Direction Way) const;
  /// Returns the number of datagrams passed on, duplicates included.
  uint64_t passedDatagrams() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
