/** Messages of the replicated log between control VMs. All are one-way: an answer is a message of its own. */
namespace java org.wigeongrade.nodes.log.thrift

struct WirePosition {
  1: required i64 index
  2: required i64 term
  3: required i64 digest_high
  4: required i64 digest_low
}

struct WireEntry {
  1: required WirePosition position
  2: required i32 kind
  3: required binary payload
}

struct WireVoteRequest {
  1: required i64 term
  2: required bool pre_vote
  3: required bool handed_over
  4: required i64 voter_incarnation
  5: required i64 last_index
  6: required i64 last_term
}

struct WireVoteReply {
  1: required i64 term
  2: required i64 election_term
  3: required bool pre_vote
  4: required bool granted
  5: required i64 incarnation
}

struct WireAppendRequest {
  1: required i64 term
  2: required WirePosition previous
  3: required list<WireEntry> entries
  4: required i64 commit_index
  5: required i64 sent_nanos
}

struct WireAppendReply {
  1: required i64 term
  2: required i64 incarnation
  3: required bool success
  4: required i64 index
  5: required i64 previous_index
  6: required i64 sent_nanos
}

struct WireSnapshotChunk {
  1: required i64 term
  2: required WirePosition position
  3: required binary membership
  4: required i64 offset
  5: required i64 total_bytes
  6: required binary data
  7: required i64 sent_nanos
}

struct WireSnapshotReply {
  1: required i64 term
  2: required i64 incarnation
  3: required i64 snapshot_index
  4: required i64 next_offset
  5: required bool installed
  6: required i64 sent_nanos
}

struct WireHandOver {
  1: required i64 term
  2: required i64 incarnation
}

struct WireEmptyProbe {
  1: required i64 round
  2: required list<string> configured_voters
}

struct WireEmptyProbeReply {
  1: required i64 round
  2: required i64 incarnation
  3: required bool empty
}

union WireMessage {
  1: WireVoteRequest vote_request
  2: WireVoteReply vote_reply
  3: WireAppendRequest append_request
  4: WireAppendReply append_reply
  5: WireSnapshotChunk snapshot_chunk
  6: WireSnapshotReply snapshot_reply
  7: WireEmptyProbe empty_probe
  8: WireEmptyProbeReply empty_probe_reply
  9: WireHandOver hand_over
}

struct LogEnvelope {
  1: required string sender
  2: required list<WireMessage> messages
}

service LogService {
  /** Hands over messages; the return only says that they were received, so that a silent connection shows. */
  void deliver(1: LogEnvelope envelope)
}
