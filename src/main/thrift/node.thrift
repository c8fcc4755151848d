// What processes of this system say to each other beside the replicated log.
namespace java org.wigeongrade.nodes.thrift

include "fleet.thrift"

// What one endpoint VM last announced, as an entry VM heard it.
struct AnnouncementRecord {
  1: string vm
  2: i64 incarnation
  3: string address
  4: string availabilityZone
  5: string fabricDomain
  6: i32 accelerators
  7: string kind
  8: optional string serviceName
  9: optional string groupName
  10: i64 orderTerm
  11: i64 orderSequence
  12: optional string modelVersion
  13: string state
  14: i32 running
  15: i32 waiting
  16: i64 sequence
  // Term and sending time (leader's monotonic clock) of the last pull reply received before this announcement.
  17: i64 echoTerm
  21: i64 echoSentAtNanos
  // Time from the receipt of that reply to the receipt of this announcement; never negative.
  22: i64 heardAfterEchoNanos
  18: optional i64 cacheFirstSequence
  19: list<string> cacheAdded
  20: list<string> cacheRemoved
}

// What an entry VM holds or wants of one bounded thing; the fields are those of the share report in decisions.limits.
struct ShareReportRecord {
  1: string kind
  2: string name
  3: i64 sequence
  4: i32 granted
  5: i32 coldSlots
  6: i32 inUse
  7: i32 wanted
  8: i64 epoch
  9: i64 warmCompletions
  10: i64 coldSignEpoch
}

struct ShareGrantRecord {
  1: string kind
  2: string name
  3: i64 reportSequence
  4: i32 slots
  5: i32 coldSlots
  6: i64 epoch
  7: i64 leaseNanos
}

// One request digest and the life of the endpoint that it was in flight at.
struct RunRecord {
  1: string requestDigest
  2: string endpoint
  3: i64 incarnation
  // Parts of the request's prompt that other requests may contain as well.
  4: optional list<string> promptParts
  // Of a loss: the time from it to the sending of this record; absent if it was noticed just before.
  5: optional i64 ageMs
  // Of a loss: the entry VM's own links may be the cause, as it reached no endpoint.
  6: optional bool linksDoubted
}

// Requests that were in flight at lost endpoints, and suspects that completed since.
struct CrashReportRecord {
  1: i64 sequence
  2: list<RunRecord> losses
  3: list<RunRecord> completions
  4: list<string> wantedTrials
  // For the prompt parts that the last reply asked about.
  5: optional list<fleet.PartCompletionRecord> partCompletions
  // Quarantined prompt parts because of which requests were refused since the last pull.
  6: optional list<string> refusedParts
  // What the entry VM holds of an earlier leader's quarantine.
  7: optional list<fleet.QuarantinedPartRecord> quarantinedParts
}

// A request that was in flight at one lost endpoint; only the trial holder may run it.
struct SuspectRecord {
  1: string requestDigest
  2: i32 endpointsLost
  3: optional string trialHolder
  4: i64 trialNanos
}

struct PullRequest {
  1: string node
  2: string availabilityZone
  3: i64 incarnation
  6: i64 revision
  7: i64 endpointsDigest
  8: i64 quarantineDigest
  9: list<AnnouncementRecord> announcements
  10: list<ShareReportRecord> shares
  12: bool stopping
  13: bool leaseHeld
  // Position up to which this entry VM has the leader's cache events, and the term that gave it.
  14: i64 cacheCursorTerm
  15: i64 cacheCursor
  16: CrashReportRecord crashReport
  // Where other entry VMs may pass callers' requests on to this one.
  17: string callerAddress
  // The entry VM reaches no endpoint, so that it takes no requests from other ones.
  18: optional bool endpointLinksCut
}

struct EndpointRecord {
  1: string id
  2: string kind
  3: string target
  4: string modelVersion
  5: string availabilityZone
  6: string address
  7: i32 capacity
  8: i32 coldCapacity
  9: bool cold
  10: i64 longestRunMs
  11: i64 incarnation
  12: list<string> members
  13: i64 fencingTerm
  14: i64 fencingSequence
  15: string coldHolder
  // Where the cold holder takes callers' requests; empty if there is none.
  16: string coldHolderAddress
}

struct LoadRecord {
  1: string endpoint
  2: i32 running
  3: i32 waiting
  4: i64 ageNanos
}

struct CacheEventRecord {
  1: string endpoint
  2: i64 firstSequence
  3: list<string> added
  4: list<string> removed
  5: i64 incarnation
}

struct PullReply {
  1: bool leads
  2: string leader
  3: i64 term
  4: i64 sentAtNanos
  5: i64 viewLeaseNanos
  6: i64 revision
  // Present if the entry VM's revision differs: declared set and states of availability zones in JSON.
  7: optional binary configuration
  8: i64 endpointsDigest
  // Present if the digest differs: every endpoint that may serve.
  9: optional list<EndpointRecord> endpoints
  // Time left of every endpoint's serving lease, but for those listed with less.
  10: i64 servingLeaseNanos
  11: map<string, i64> shorterServingLeaseNanos
  12: list<ShareGrantRecord> grants
  13: i64 quarantineDigest
  // Present if the digest differs: quarantined request digests with their deadlines (milliseconds since the epoch).
  14: optional map<string, i64> quarantined
  15: list<LoadRecord> loads
  16: list<CacheEventRecord> cacheEvents
  18: i64 cacheCursor
  17: list<SuspectRecord> suspects
  19: i64 acknowledgedCrashSequence
  // False while a new leader has not had the time to hear of every endpoint; a missing one is not lost for that.
  20: bool membersKnown
  21: optional list<fleet.QuarantinedPartRecord> quarantinedParts
  // Prompt parts for which the leader wants to know the complete responses.
  22: optional list<string> partsInQuestion
  // Addresses of some entry VMs that take requests which this one cannot send to an endpoint.
  23: optional list<string> relayAddresses
}

// A refusal or failure with a code from the closed list of error kinds.
exception NodeFailure {
  1: string kind
  2: string message
  3: i64 retryAfterMs
}

service NodeService {
  // Entry VM to leader, at a fixed interval: reports what it saw and holds, gets the view with its lease.
  PullReply pull(1: PullRequest request) throws (1: NodeFailure failure)
  // Any VM to leader: proposes a control command (JSON), gets its result (JSON).
  binary submit(1: binary command) throws (1: NodeFailure failure)
  // Any VM to any VM: decision records that concern an object, in JSON.
  binary explain(1: string kind, 2: string id) throws (1: NodeFailure failure)
  // Any VM to the leader: the state of the fleet in JSON.
  binary status() throws (1: NodeFailure failure)
  // Entry VM to entry VM: the endpoint showed a sign of being cold; hold no slot of it unless named its cold holder.
  void coldSign(1: string endpoint, 2: string fromNode)
}
