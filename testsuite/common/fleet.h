#pragma once

#include "backendserver.h"
#include "httpclient.h"
#include "logserver.h"
#include "process.h"

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// The key with which the nodes of a test's fleet seal tickets.
constexpr std::string_view TestTicketKey = "test-ticket-key-0123456789";

#ifdef __SANITIZE_THREAD__
/// Several workers, so that ThreadSanitizer can find races between them.
constexpr int DefaultWorkers = 3;
#else
constexpr int DefaultWorkers = 1;
#endif

/// The settings of one node of a test's fleet.
struct NodeSpec {
  std::string Ip_ = "127.0.0.1";
  std::string Zone_ = "zone-a";
  std::string Region_ = "region-a";
  /// The `ip:port` that the node advertises to other nodes, such as that of a
  /// proxy; empty for its own address.
  std::string Advertise_;
  /// The port for other nodes; 0 selects a free one.
  int PeerPort_ = 0;
  int Workers_ = DefaultWorkers;
  std::string Policy_ = "adaptive";
  bool UseLog_ = true;
  /// The number of file descriptors that the process may have open; 0 keeps the
  /// limit of the test's own process.
  uint64_t DescriptorLimit_ = 0;
  std::vector<std::string> Peers_;
  /// This and the members below: further TOML lines for the settings table of
  /// the same name.
  std::string Membership_;
  std::string Limits_;
  std::string Timeouts_;
  std::string LogService_;
  std::string Logging_;
};

/// A running node process of a test's fleet.
class TestNode {
public:
  /// Starts the process and waits until it listens. Authorization is the value
  /// of that header field in requests of the operator; DescriptorLimit is that
  /// of the NodeSpec. Throws WaitTimeout.
  TestNode(const std::string &SettingsFile, std::string Ip,
           std::string Authorization, uint64_t DescriptorLimit = 0);

  uint16_t httpPort() const { return HttpPort_; }
  const std::string &ip() const { return Ip_; }
  /// Returns the `ip:port` to which callers send HTTP requests.
  std::string httpAddress() const;
  /// Returns the address that the node advertises to others.
  const std::string &name() const { return Name_; }
  /// Returns the port on which the node listens for other nodes.
  uint16_t peerPort() const { return PeerPort_; }
  Process &process() { return *Process_; }

  /// Sends a request as a caller, without the operator's credentials.
  HttpReply call(std::string_view Method, std::string_view Target,
                 const std::vector<HttpField> &Fields = {},
                 std::string_view Body = {},
                 Millis Timeout = Millis(10000)) const;
  /// Sends a request with the operator's credentials.
  HttpReply requestAsOperator(std::string_view Method, std::string_view Target,
                              std::string_view Body = {},
                              std::vector<HttpField> Fields = {}) const;

  /// Waits until the node has a configuration and is not isolated. Throws
  /// WaitTimeout.
  void waitUntilServing(Millis Timeout = Millis(15000)) const;
  /// Waits until aliveGateCount() is Count. Throws WaitTimeout.
  void waitForGates(std::string_view Service, int Count,
                    Millis Timeout = Millis(15000)) const;
  /// Returns the number of gates of a service that the node knows in the state
  /// alive, which excludes leaving ones.
  int aliveGateCount(std::string_view Service) const;

private:
  std::string Ip_;
  std::string Authorization_;
  std::unique_ptr<Process> Process_;
  uint16_t HttpPort_ = 0;
  uint16_t PeerPort_ = 0;
  std::string Name_;
};

/// A fleet of node processes with an embedded stand-in of the log service. The
/// settings and secrets are in a temporary folder, which the destructor
/// deletes.
class Fleet {
public:
  Fleet();
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  LogServer &log() { return Log_; }
  /// Starts a node and waits until it listens.
  std::unique_ptr<TestNode> startNode(const NodeSpec &Spec = {});
  /// Starts a stand-in backend server that announces itself to a node, and
  /// waits until the node has accepted the announcement.
  std::unique_ptr<BackendServer> startBackend(const TestNode &Node,
                                              BackendOptions Options);
  /// Writes a resource through a node and returns its version. Throws
  /// std::runtime_error when the node doesn't answer 200.
  static int64_t putResource(const TestNode &Node, std::string_view KindAndName,
                             std::string_view Json,
                             std::string_view IfMatch = "*");

private:
  std::string writeFile(const std::string &Name, std::string_view Text) const;
  std::string settingsText(const NodeSpec &Spec) const;

  std::string Folder_;
  LogServer Log_;
  int Started_ = 0;
};

/// Returns the JSON of a service resource with three routes: `GET /items…`,
/// `GET /report…` with the rank low, and `POST /bookings…`, which has the rank
/// urgent and is protected.
std::string shopServiceJson(int DeadlineMs = 3000);

/// Returns header fields that name a service, a client and a request's tag.
std::vector<HttpField> requestFields(const std::string &Service,
                                     const std::string &Client = "client-1",
                                     const std::string &Tag = "tag-1");

/// Makes a non-idempotent call as a client without a ticket does: the first
/// request is answered 428 with a ticket, and the request is sent again with
/// this ticket. Returns the first answer if it isn't a 428, else the second
/// one. Stores the ticket in *Ticket unless Ticket is null.
HttpReply callWithTicket(const TestNode &Node, const std::string &Service,
                         const std::string &Target, const std::string &Client,
                         const std::string &Tag, std::string_view Body,
                         std::string *Ticket = nullptr);

} // namespace coltsfoot
