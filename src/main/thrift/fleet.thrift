// What entry VMs and control VMs say to each other in a deployment whose nodes find each other through seeds.
namespace java org.wigeongrade.fleet.thrift

// One endpoint that requests may be sent to: the head of a whole group, or one replica of a plain service.
struct RoutableRecord {
  1: string vm
  2: i64 incarnation
  3: string serviceName
  4: string address
  5: string availabilityZone
  // Empty for a replica of a plain service.
  6: string model
  7: i32 slots
  // Remaining time of the cold start; 0 if warm.
  8: i64 coldForMs
  // Factor on all times of a group whose members lie in several fabric domains; 1 otherwise.
  9: double paceFactor
  // The group makes no progress or lost a member's heartbeat, and its members are being asked whether they are there.
  10: bool suspect
}

// What one entry VM saw of one endpoint.
struct UsageRecord {
  1: string vm
  2: i64 incarnation
  3: i32 inFlight
  // Time since the endpoint last sent a byte of an answer to this entry VM; meaningful with requests in flight only.
  4: i64 sinceProgressMs
  // The endpoint refused a connection, so that its process has ended.
  5: bool refusedConnection
  // The endpoint sent a byte of an answer since the last pull.
  6: bool progressed
  // A VM that a refusal of this endpoint named as the one at fault; empty if none.
  7: string faultyVm
  // Prompt tokens of requests at the endpoint that have not had their first event.
  8: i32 unreadTokens
  // The endpoint said in a response that it is leaving.
  9: optional bool leaving
}

// A request digest that was in flight at an endpoint whose connection broke.
struct CrashRecord {
  1: string requestDigest
  2: string vm
  3: i64 incarnation
  // Parts of the request's prompt that other requests may contain as well.
  4: optional list<string> promptParts
  // Time from the loss to the sending of this record; absent for a loss that was noticed just before.
  5: optional i64 ageMs
  // The entry VM's own links may be the cause, as it reached no endpoint.
  6: optional bool linksDoubted
}

// A prompt part whose requests are not sent, because they crash endpoints.
struct QuarantinedPartRecord {
  1: string part
  // Time until a trial may be granted; 0 if it has passed.
  2: i64 remainingMs
  3: i32 failedTrials
  // The entry VM that gets this record may send one request with the part.
  4: bool onTrial
}

// A request that is not sent again, because it was in flight at several endpoints that were lost.
struct QuarantinedRequestRecord {
  1: string requestDigest
  // Time until a trial may be granted; negative if it has passed.
  2: i64 remainingMs
  // Trials that crashed another endpoint; absent in a message of an old build.
  3: optional i32 failedTrials
  // The entry VM that gets this record may send the request once.
  4: optional bool onTrial
}

// What one entry VM saw of the complete responses to requests with a prompt part.
struct PartCompletionRecord {
  1: string part
  2: i32 count
  3: i64 sinceLastMs
}

// What an endpoint last stated of the requests that it takes from all entry VMs together.
struct EndpointLimitRecord {
  1: string vm
  2: i64 incarnation
  // Absent if it takes any number.
  3: optional double requestsPerSecond
  4: i64 sinceStatedMs
  // Requests a second that the entry VM that gets this record may send.
  5: optional double share
}

struct PullRequest {
  1: string node
  2: string availabilityZone
  3: i64 configurationVersion
  // Term and number of the last endpoint change that the entry VM knows.
  4: i64 term
  5: i64 changeNumber
  6: list<UsageRecord> usage
  7: list<CrashRecord> crashes
  // For the prompt parts that the last reply asked about.
  8: optional list<PartCompletionRecord> partCompletions
  // Quarantined prompt parts because of which requests were refused since the last pull.
  9: optional list<string> refusedParts
  // What the entry VM holds of an earlier leader's quarantine.
  10: optional list<QuarantinedPartRecord> quarantinedParts
  11: optional list<EndpointLimitRecord> limits
  // Address, as ip:port, at which the entry VM takes requests that other entry VMs relay; absent while it takes none.
  12: optional string relayAddress
  // Availability zones that the entry VM treats as out of service.
  13: optional list<string> zonesOut
  // Version of the document to which the entry VM can apply a difference; 0 if it has none. Absent if it can apply none.
  14: optional i64 documentVersion
  // What the entry VM holds of an earlier leader's quarantine.
  15: optional list<QuarantinedRequestRecord> quarantinedRequests
  // Digests of quarantined requests that were refused since the last pull.
  16: optional list<string> refusedRequests
  // Digests of quarantined requests whose trials ended with a complete response.
  17: optional list<string> completedTrials
}

// A configuration as its difference from an earlier one.
struct EncodedDocument {
  // 0 if the difference is from an empty document.
  1: i64 baseVersion
  2: binary delta
  // Digest of the document.
  3: binary sha256
}

struct PullReply {
  1: bool leads
  // IP number of the leader; empty if unknown.
  2: string leader
  3: i64 term
  4: list<string> controlVms
  5: i64 configurationVersion
  // Present if the entry VM's version is older: the configuration as it was published.
  6: optional binary document
  7: list<string> zonesOut
  // False while a new leader has not had the time to hear of every endpoint; what it does not list may still serve.
  8: bool settled
  9: i64 changeNumber
  // True if the lists below are the whole state and not a change of it.
  10: bool complete
  11: list<RoutableRecord> changed
  // VMs that are no longer routable.
  12: list<string> removed
  // Requests that other entry VMs have in flight, by VM.
  13: map<string, i32> inFlightElsewhere
  // Request digests that must not be sent any more, for entry VMs of old builds.
  14: list<string> quarantined
  15: i32 entryVms
  // Prompt tokens that other entry VMs have sent and that are not read yet, by VM.
  16: map<string, i32> unreadTokensElsewhere
  17: optional list<QuarantinedPartRecord> quarantinedParts
  // Prompt parts for which the leader wants to know the complete responses.
  18: optional list<string> partsInQuestion
  // Limits that changed in the last seconds, or all of them if the reply is complete.
  19: optional list<EndpointLimitRecord> limits
  // Addresses of some entry VMs that take requests which this one cannot send to an endpoint.
  20: optional list<string> relayAddresses
  // The leader takes confirmations of what an entry VM has in force.
  21: optional bool takesConfirmations
  // In place of the document, if the entry VM can apply differences.
  22: optional EncodedDocument encodedDocument
  // The same requests as in quarantined; absent in the reply of an old build.
  23: optional list<QuarantinedRequestRecord> quarantinedRequests
}

// What an entry VM has in force.
struct ViewConfirmation {
  1: string node
  2: i64 configurationVersion
  3: list<string> zonesOut
}

// What an endpoint VM last said of itself, as one control VM heard it.
struct HeartbeatRecord {
  1: string vm
  2: i64 incarnation
  3: i64 sequence
  4: string serviceName
  5: string address
  6: string availabilityZone
  7: string softwareVersion
  8: i32 slots
  9: bool draining
  10: i64 coldForMs
  // Empty where the VM runs no engine.
  11: string fabricDomain
  12: list<string> stagedModels
  13: string loadedModel
  14: string groupName
  15: i64 groupEpoch
  16: i32 groupRank
  // Empty if the VM is in no group.
  17: string groupState
  18: i64 ageMs
  // The VM said that it has left for good.
  19: bool departed
}

struct ExchangeRequest {
  // IP number of the sender.
  1: string sender
  2: list<string> controlVms
  3: list<HeartbeatRecord> heartbeats
  // Newest format of log commands that the sender can apply.
  4: optional i32 commandFormat
}

struct ExchangeReply {
  1: list<string> controlVms
  // Newest format of log commands that the replying control VM can apply.
  2: optional i32 commandFormat
}

service FleetService {
  // Entry VM to the leader, at a fixed interval: reports what it saw, gets what changed.
  PullReply pull(1: PullRequest request)
  // Control VM to control VM: heartbeats that the sender heard, and the control VMs that it knows.
  ExchangeReply exchange(1: ExchangeRequest request)
  // Entry VM to the leader: the configuration or the availability zones of the last reply are in force.
  void confirm(1: ViewConfirmation confirmation)
}
