#pragma once

#include "backendserver.h"
#include "httpclient.h"
#include "logserver.h"
#include "process.h"

#include "coltsfootpoint/time.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// The key that seals the tickets of a test's fleet.
constexpr std::string_view TestTicketKey = "test-ticket-key-0123456789";

#ifdef __SANITIZE_THREAD__
/// Several workers, so that ThreadSanitizer sees them meet.
constexpr int DefaultWorkers = 3;
#else
constexpr int DefaultWorkers = 1;
#endif

/// How one node of a test's fleet is set up.
struct NodeSpec {
  std::string Ip_ = "127.0.0.1";
  std::string Zone_ = "zone-a";
  std::string Region_ = "region-a";
  /// Where others reach it, when that is a proxy; `ip:port`.
  std::string Advertise_;
  /// 0 for any free port.
  int PeerPort_ = 0;
  int Workers_ = DefaultWorkers;
  std::string Policy_ = "adaptive";
  bool UseLog_ = true;
  std::vector<std::string> Peers_;
  /// Further TOML lines, by table.
  std::string Membership_;
  std::string Limits_;
  std::string Timeouts_;
  std::string LogService_;
  std::string Logging_;
};

/// A running node of a test's fleet.
class TestNode {
public:
  TestNode(const std::string &SettingsFile, std::string Ip,
           std::string Authorization);

  uint16_t httpPort() const { return HttpPort_; }
  const std::string &ip() const { return Ip_; }
  /// Returns `ip:port` for callers.
  std::string httpAddress() const;
  /// Returns the address that the node advertises to others.
  const std::string &name() const { return Name_; }
  /// Returns the port of the node's own sockets for other nodes.
  uint16_t peerPort() const { return PeerPort_; }
  Process &process() { return *Process_; }

  /// Sends a request as a caller.
  HttpReply call(std::string_view Method, std::string_view Target,
                 const std::vector<HttpField> &Fields = {},
                 std::string_view Body = {},
                 Millis Timeout = Millis(10000)) const;
  /// Sends a request as an operator.
  HttpReply operate(std::string_view Method, std::string_view Target,
                    std::string_view Body = {},
                    std::vector<HttpField> Fields = {}) const;

  /// Waits until the node holds a configuration and is not isolated.
  void waitServing(Millis Timeout = Millis(15000)) const;
  /// Waits until the node knows as many gates of a service, none leaving.
  void waitGates(std::string_view Service, int Count,
                 Millis Timeout = Millis(15000)) const;
  /// Returns the number of gates of a service that it knows as alive.
  int gates(std::string_view Service) const;

private:
  std::string Ip_;
  std::string Authorization_;
  std::unique_ptr<Process> Process_;
  uint16_t HttpPort_ = 0;
  uint16_t PeerPort_ = 0;
  std::string Name_;
};

/// A fleet of real node processes with an embedded stand-in log. Its settings
/// and secrets are in a folder that goes with it.
class Fleet {
public:
  Fleet();
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  LogServer &log() { return Log_; }
  /// Starts a node; waits until it listens.
  std::unique_ptr<TestNode> startNode(const NodeSpec &Spec = {});
  /// Starts a backend server announced to a node; waits until the node has
  /// taken its announcement.
  std::unique_ptr<BackendServer> startBackend(const TestNode &Node,
                                              BackendOptions Options);
  /// Writes a resource through a node and returns its version. Throws when it
  /// is not accepted.
  static int64_t put(const TestNode &Node, std::string_view KindAndName,
                     std::string_view Json, std::string_view IfMatch = "*");

private:
  std::string writeFile(const std::string &Name, std::string_view Text) const;
  std::string settingsText(const NodeSpec &Spec) const;

  std::string Folder_;
  LogServer Log_;
  int Started_ = 0;
};

/// Returns a service resource with the routes that most cases use: reads of
/// `/items…`, a low rank for `/report…`, and protected bookings at
/// `POST /bookings…`.
std::string shopService(int DeadlineMs = 3000);

/// Returns fields that name a service, a client and a request's tag.
std::vector<HttpField> fieldsOf(const std::string &Service,
                                const std::string &Client = "client-1",
                                const std::string &Tag = "tag-1");

/// Makes a non-idempotent call as a client does that starts without a ticket:
/// the first answer is a 428 with a ticket, with which it is repeated. Ticket
/// receives the ticket.
HttpReply book(const TestNode &Node, const std::string &Service,
               const std::string &Target, const std::string &Client,
               const std::string &Tag, std::string_view Body,
               std::string *Ticket = nullptr);

} // namespace coltsfoot
