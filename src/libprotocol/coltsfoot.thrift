// Messages between the nodes of a fleet: frames on TCP connections and
// datagrams on UDP. The C++ code in gen-cpp is generated with:
//   thrift --gen cpp:no_skeleton,moveable_types=forward_setter -out gen-cpp coltsfoot.thrift
namespace cpp coltsfoot.wire

struct WireField {
  1: string name
  2: string value
}

// Reply.outcome, Reply.reason and WireMember.state are plain numbers: any value
// may arrive, and a value outside of an enumeration must not reach code that
// relies on the enumeration.

// The handshake: the first frame in each direction of a connection.
struct Hello {
  1: i32 version
  2: string node          // ip:port that the sender advertises
  3: i64 incarnation      // identifies the sender's process
  4: string zone
}

// Asks the gate to run a call. When the gate already knows the call's ticket,
// the offer joins the run of that ticket instead of starting another.
struct Offer {
  1: i64 attempt          // unique per sending process, increasing
  2: string request_id    // of the root request, for logs and `coltsfootctl explain`
  3: string service_name
  4: string method
  5: string target
  6: list<WireField> fields
  7: binary body
  8: i32 remaining_ms     // until the caller's deadline
  9: i32 credits          // retry credits granted to this attempt and its subtree
  10: string client
  11: i32 bucket          // 0..127, hash of the root request
  12: i32 depth           // 0 for a root call
  13: string ticket       // empty for an idempotent call
  14: string route        // name of the route that the entry node matched
  // Order of the call's rank; for a nested call it is at least as urgent as its
  // parent's. For a root call the gate uses the rank that its own configuration
  // gives the route, for a nested call the more urgent of the two. With a call
  // dialect it uses this alone.
  15: i32 rank_order
  16: bool protected_call // set on the call's route or inherited from its parent
  17: i32 objective_ms    // remaining time of the latency objective; 0 for none
  18: i32 root_rank_order // order of the rank of the root request; 0 is the most urgent
  19: bool repeated       // an earlier attempt of the call, or of a call above it, was paid
                          // from the retry budget, so that nested calls are extra arrivals too
  20: string team         // team of the root request; empty for none
}

// What the gate's admission control would refuse at present: every rank less
// urgent than rank, and of rank itself the buckets from bucket on.
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
  7: i32 credits_left     // unused retry credits, returned to the sender of the offer
  8: bool closed          // the gate has closed the ticket; the next candidate may be asked
  9: string successor     // a new ticket, issued only by the last candidate
  10: Threshold threshold
  11: i32 in_flight       // calls that run or wait at the gate
  12: i32 limit
  13: bool leaving
  14: i32 retry_after_ms
  15: string trace        // this hop's decision and its reason, for `coltsfootctl explain`
  16: optional Threshold general // for any kind of route; threshold is for the kind of the call's
  17: optional Threshold path    // the strictest along the learned path of nested calls
}

// Asks for the outcome of an attempt or a ticket. With close set, the gate
// closes a ticket or attempt that it has never seen, so that it cannot run
// later.
struct Inquiry {
  1: i64 attempt          // number of this inquiry, which its reply repeats
  2: i64 asked_attempt    // of the offer; 0 when the inquiry is only for the ticket
  3: i64 asked_incarnation // of the process that sent that offer
  4: string ticket
  5: bool close
  6: string digest        // of the call's method, target and body
}

// Cancels an attempt whose reply is no longer needed.
struct Cancel {
  1: i64 attempt
}

// Requests configuration records from an offset on. The reply is a snapshot
// when these records are no longer kept.
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

// Checks that a connection is alive; the receiver returns it with answer set.
struct Heartbeat {
  1: i64 sequence
  2: bool answer
}

// Requests a node's own status data, for `coltsfootctl` commands on all nodes.
struct StatusFetch {
  1: i64 sequence
  2: string what          // "status", "burn" or "explain"
  3: string argument
}

struct StatusBatch {
  1: i64 sequence
  2: string json
}

// Asks as of when the receiver knows its configuration to have been the newest.
struct FreshnessFetch {
  1: i64 sequence
}

struct FreshnessBatch {
  1: i64 sequence
  2: i64 version          // of the configuration in force at the sender
  3: i64 age_ms           // since that version was known to be the newest; -1 for never
}

// Asks the lender of a team's allowance for tokens, each of which lets one call
// through.
struct AllowanceAsk {
  1: i64 sequence
  2: string team
  3: i32 needed           // calls that wait for a token
  4: i32 wanted           // tokens for calls to come
}

struct AllowanceGrant {
  1: i64 sequence
  2: i32 tokens
  3: i32 retry_after_ms   // until a further token is due, if fewer than needed were granted
  4: string lender        // the node to ask instead, if the sender is not the lender
  5: bool known           // whether the sender knows the team or the other lender
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
  11: FreshnessFetch freshness_fetch
  12: FreshnessBatch freshness_batch
  13: AllowanceAsk allowance_ask
  14: AllowanceGrant allowance_grant
}

enum WireMemberState { ALIVE = 0, LEAVING = 1, SUSPECT = 2, DEAD = 3 }

struct WireMember {
  1: string node          // ip:port that the member advertises
  2: i64 incarnation      // identifies the process
  3: i64 generation       // orders the records of one node; only that node raises it
  4: i32 state            // WireMemberState as a number, because any value may arrive
  5: string zone
  6: string region
  7: string service_name       // empty until a backend server has announced itself to the node
  8: i32 slots            // as the backend server announced them
  9: i64 config_offset    // offset after the last configuration record that the member applied
}

struct Probe {
  1: i64 sequence
  2: string target        // for an indirect probe: the node to probe for the sender
}

struct ProbeAck {
  1: i64 sequence
  2: string target        // for an indirect probe: the node that was probed
}

// Digests of the member table by bucket, for anti-entropy between two nodes.
struct TableDigest {
  1: binary digests
  2: bool answer
}

struct Datagram {
  1: string fleet         // a node ignores datagrams of other fleets that share addresses
  2: WireMember sender
  3: optional Probe probe
  4: optional ProbeAck ack
  5: list<WireMember> members
  6: list<ConfigRecord> records
  7: optional TableDigest digest
}

// Record of a seed node in the platform's log.
struct SeedRecord {
  1: string node
  2: string zone
  3: string region
  4: i64 expires_wall_ms
}
