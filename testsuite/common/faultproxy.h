#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace coltsfoot {

/// The direction of bytes through a proxy, seen from the side that connected.
enum class Direction { ToTarget, FromTarget, Both };

/// The connections that a fault is meant for. Datagrams belong to none, so
/// that only faults for All connections reach them.
enum class Which { Existing, New, All };

/// A TCP and UDP proxy on one loopback address, with one port number for both,
/// that brings about the faults of a network between a test's processes.
///
/// It runs in a thread of its own. All methods are thread-safe; a fault is in
/// effect when the method that sets it returns. Connections and datagrams
/// leave towards the target from the proxy's own address. Until setTarget() is
/// called connections are reset and datagrams dropped.
class FaultProxy {
public:
  /// Binds a free port of the address. Throws when there is none.
  explicit FaultProxy(const std::string &Ip = "127.0.0.1");
  ~FaultProxy();
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;

  /// Returns the port of both protocols.
  uint16_t port() const;
  /// Returns `ip:port`.
  std::string address() const;

  /// Sets where later connections and datagrams go.
  void setTarget(const std::string &Ip, uint16_t Port);

  /// Holds bytes and datagrams back for a time, in order; zero ends it.
  void delay(Millis Time, Direction Way = Direction::Both,
             Which Set = Which::All);
  /// Throws bytes and datagrams away. The connections stay open, and neither
  /// end learns that the other has closed.
  void swallow(Direction Way, Which Set);
  /// Resets connections. New ones are reset as soon as they are accepted.
  void cut(Which Set);
  /// Resets each connection once it has passed on this many further bytes in
  /// the direction; with 0, at the first byte that arrives. Both counts each
  /// direction by itself.
  void cutAfterBytes(Direction Way, uint64_t Count, Which Set = Which::All);
  /// Resets new connections as soon as they are accepted.
  void refuseNew(bool Refuse);
  /// Limits all faults to connections and datagrams from these source
  /// addresses; an empty set lifts the limit.
  void onlyFrom(std::set<std::string> SourceIps);
  /// Sends each datagram twice.
  void duplicateUdp(bool Duplicate);
  /// Drops this share of the datagrams, 0 to 1, by a seeded random sequence.
  void dropUdp(double Share, uint64_t Seed);
  /// Ends all faults, the limit to source addresses too. Connections that have
  /// lost bytes can't be healed and are reset.
  void heal();

  /// Returns the number of connections that are open now.
  size_t connections() const;
  /// Returns the number of connections accepted so far.
  uint64_t accepted() const;
  /// Returns the bytes that TCP connections have passed on in a direction.
  uint64_t passedBytes(Direction Way) const;
  /// Returns the datagrams passed on, copies included.
  uint64_t passedDatagrams() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
