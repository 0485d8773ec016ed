// Messages between the nodes of a fleet: frames on TCP connections and
// datagrams on UDP. Generate with:
//   thrift --gen cpp:no_skeleton,moveable_types=forward_setter -out gen-cpp coltsfoot.thrift
namespace cpp coltsfoot.wire

struct WireField {
  1: string name
  2: string value
}

// Values of Reply.outcome. The field is a number, since a value outside of an
// enumeration must not reach code that trusts it.

// First frame in each direction of a connection.
struct Hello {
  1: i32 version
  2: string node          // ip:port that the sender advertises
  3: i64 incarnation      // identifies the sender's process
  4: string zone
}

// Asks the gate to run a call, or to join it when its ticket is known.
struct Offer {
  1: i64 attempt          // unique per sending process, increasing
  2: string request_id    // of the root request, for logs and explain
  3: string service_name
  4: string method
  5: string target
  6: list<WireField> fields
  7: binary body
  8: i32 remaining_ms     // until the caller's deadline
  9: i32 credits          // retry credits lent to this attempt
  10: string client
  11: i32 bucket          // 0..127, hash of the root request
  12: i32 depth           // 0 for a root call
  13: string ticket       // empty for an idempotent call
  14: string route        // name of the route that the entry matched
  15: i32 rank_order      // of the root call; the more urgent of it and the route's counts
  16: bool protected_call // inherited from the root call
  17: i32 objective_ms    // until the time within which the answer is of full use; 0 for none
}

// What the gate's admission would refuse at this moment: ranks behind
// rank, and at rank the buckets from bucket on.
struct Threshold {
  1: i32 rank
  2: i32 bucket
}

// The result of an Offer or an Inquiry.
struct Reply {
  1: i64 attempt
  2: i32 outcome          // index in coltsfoot::Verdict: 0 ran, 1 not run, 2 may have run
  3: i32 status
  4: list<WireField> fields
  5: binary body
  6: i32 reason           // coltsfoot::Reason
  7: i32 credits_left
  8: bool closed          // the ticket is closed here; the next candidate may be asked
  9: string successor     // a fresh ticket, from the last candidate only
  10: Threshold threshold
  11: i32 in_flight
  12: i32 limit
  13: bool leaving
  14: i32 retry_after_ms
  15: string trace        // what this hop decided and why, for explain
  16: optional Threshold general // for any kind; threshold is that of the call's kind
  17: optional Threshold path    // the tightest further down the learned path
}

// Asks what became of an attempt or a ticket. With close set, a ticket or
// attempt that the gate has never seen is closed, so that it cannot run later.
struct Inquiry {
  1: i64 attempt          // of this inquiry
  2: i64 asked_attempt    // of the offer, 0 when only the ticket is asked
  3: i64 asked_incarnation // of the process that sent that offer
  4: string ticket
  5: bool close
  6: string digest        // of method, target and body of the call asked for
}

struct Cancel {
  1: i64 attempt
}

// Asks for configuration records from an offset on, or for a snapshot.
struct ConfigFetch {
  1: i64 sequence
  2: i64 from_offset
}

struct ConfigRecord {
  1: i64 offset
  2: binary data
}

struct ConfigBatch {
  1: i64 sequence
  2: i64 next_offset
  3: list<ConfigRecord> records
  4: binary snapshot      // set when from_offset is no longer kept
}

// Keeps a connection known to be alive in both directions.
struct Heartbeat {
  1: i64 sequence
  2: bool answer
}

// Asks a node for figures of its own, for `coltsfootctl` over all nodes.
struct StatusFetch {
  1: i64 sequence
  2: string what          // "status", "burn" or "explain"
  3: string argument
}

struct StatusBatch {
  1: i64 sequence
  2: string json
}

union Frame {
  1: Hello hello
  2: Offer offer
  3: Reply reply
  4: Inquiry inquiry
  5: Cancel cancel
  6: ConfigFetch config_fetch
  7: ConfigBatch config_batch
  8: Heartbeat heartbeat
  9: StatusFetch status_fetch
  10: StatusBatch status_batch
}

enum WireMemberState { ALIVE = 0, LEAVING = 1, SUSPECT = 2, DEAD = 3 }

struct WireMember {
  1: string node          // ip:port that the member advertises
  2: i64 incarnation      // identifies the process
  3: i64 generation       // orders records of one node; only it raises it
  4: i32 state            // WireMemberState; a number, as any may arrive
  5: string zone
  6: string region
  7: string service_name       // empty until a backend server has announced itself
  8: i32 slots
  9: i64 config_offset    // next offset that the member has not applied
}

struct Probe {
  1: i64 sequence
  2: string target        // set when the receiver is to probe it for the sender
}

struct ProbeAck {
  1: i64 sequence
  2: string target        // set when the answer is for an indirect probe
}

// Digests of the member table by bucket, to find differences.
struct TableDigest {
  1: binary digests
  2: bool answer
}

struct Datagram {
  1: string fleet         // fleets that share addresses ignore each other
  2: WireMember sender
  3: optional Probe probe
  4: optional ProbeAck ack
  5: list<WireMember> members
  6: list<ConfigRecord> records
  7: optional TableDigest digest
}

// Records of the platform's log.
struct SeedRecord {
  1: string node
  2: string zone
  3: string region
  4: i64 expires_wall_ms
}
