package org.wigeongrade.logging;

import com.google.common.collect.ImmutableList;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Every event that the system logs. A message template names its fields in braces; values are passed in that order.
 *
 * <p>Invariant: numbers are unique and never reused; docs/EVENTS.md lists the same events. Immutable; safe for use from
 * any thread.
 */
public enum LogEvent {
    NODE_STARTED(1001, Level.INFO, "node {node} of availability zone {zone} started and listens on {listen}"),
    NODE_STOPPING(1002, Level.INFO, "node {node} is stopping because of {cause} with {in_flight} requests in flight"),
    NODE_STOPPED(1003, Level.INFO, "node {node} stopped after {elapsed_ms} ms"),
    NODE_STOP_CUT_SHORT(1004, Level.WARNING, "node {node} stopped with {in_flight} requests cut short by {cause}"),
    NODE_START_FAILED(1005, Level.ERROR, "node {node} did not start: {cause}"),
    SETTINGS_RELOADED(1006, Level.INFO, "settings of node {node} reloaded, seeds {seeds}"),
    SETTINGS_REFUSED(1007, Level.WARNING, "settings file {file} rejected: {cause}"),

    VIEW_LEASE_LOST(1101, Level.WARNING, "view lease expired at revision {revision}; no new work is sent"),
    VIEW_LEASE_REGAINED(1102, Level.INFO, "view lease regained at revision {revision} after {elapsed_ms} ms"),
    VIEW_PULL_FAILED(1103, Level.WARNING, "view pull from {peer} failed: {cause}"),
    VIEW_CHANGED(1104, Level.INFO, "view of revision {revision} is in force on this node"),

    LEADER_ELECTED(1201, Level.INFO, "node {node} leads the control VMs in term {term}"),
    LEADER_LOST(1202, Level.WARNING, "leadership of node {node} in term {term} ended: {cause}"),
    SNAPSHOT_TAKEN(1203, Level.INFO, "snapshot at log position {position} taken, {size_bytes} bytes"),
    SNAPSHOT_INSTALLED(1204, Level.INFO, "snapshot at log position {position} installed from {peer}"),
    DISK_FAILED(1205, Level.ERROR, "data folder {data_folder} failed: {cause}"),
    LOG_TAIL_CUT(1206, Level.WARNING, "torn log tail truncated at position {position}, {size_bytes} bytes dropped"),
    REPLICA_DIVERGED(1207, Level.ERROR, "log replica differs from the leader at position {position}; node stops"),
    VOTER_CAUGHT_UP(1208, Level.INFO, "control VM {peer} caught up at position {position} and votes"),
    LOG_DISK_LOST(1209, Level.ERROR, "log of data folder {data_folder} is lost: {cause}; starting as a learner"),

    CONTROL_VM_FOUND(1210, Level.INFO, "control VM {peer} found; {known} are known"),
    COMMAND_FORMAT_PROPOSED(1211, Level.INFO, "format {format} of log commands proposed: {outcome}"),

    CONFIGURATION_APPLIED(1301, Level.INFO, "configuration revision {revision} applied by {operator}, change {change}"),
    CONFIGURATION_REFUSED(1302, Level.WARNING, "change {change} of {operator} refused with {code}: {cause}"),
    ZONE_OUT(1303, Level.INFO, "availability zone {zone} taken out at revision {revision} by {operator}"),
    ZONE_IN(1304, Level.INFO, "availability zone {zone} brought in at revision {revision} by {operator}"),
    CHANGE_IN_FORCE(
            1305,
            Level.INFO,
            "{change} is in force on {confirmed} of {entry_nodes} entry nodes {elapsed_ms} ms after it was stored, not on"
                    + " {missing}"),

    GROUP_FORMED(1401, Level.INFO, "group {group} formed of VMs {members}: {cause}"),
    GROUP_DISSOLVED(1402, Level.INFO, "group {group} dissolved: {cause}"),
    GROUP_SERVING(1403, Level.INFO, "group {group} serves model version {model_version}"),
    GROUP_NOT_SERVING(1404, Level.WARNING, "group {group} stopped serving: {cause}"),
    GROUP_MEMBER_LOST(1405, Level.WARNING, "group {group} lost VM {vm}: {cause}"),
    ORDER_SENT(1406, Level.INFO, "order {order} for group {group} sent to VM {vm} with fencing token {token}"),
    ORDER_REFUSED(1407, Level.WARNING, "order {order} for group {group} refused by VM {vm}: {cause}"),
    PLACEMENT_FAILED(1408, Level.WARNING, "placement could not be carried out: {cause}"),
    GROUP_PHASE_CHANGED(1409, Level.INFO, "group {group} of model {model} is {phase} with VMs {members}: {cause}"),
    GROUP_ENDED(1410, Level.INFO, "group {group} ended, so that VMs {members} are free: {evidence}"),
    VM_TAKEN(1411, Level.INFO, "VM {vm} is taken for {group}: {evidence}; latest ended group {ended_group}"),
    GROUP_NOT_RECORDED(1412, Level.WARNING, "change {change} of the recorded groups may not have been stored: {cause}"),

    ENDPOINT_COLD(1501, Level.WARNING, "endpoint {endpoint} is cold: {cause}; its load is limited to {slots} requests"),
    ENDPOINT_WARM(1502, Level.INFO, "endpoint {endpoint} is warm; its load may reach {slots} requests"),
    ENDPOINT_ANNOUNCED(1503, Level.INFO, "endpoint VM {vm} announced itself with incarnation {incarnation}"),
    ENDPOINT_ABSENT(1504, Level.WARNING, "endpoint VM {vm} stopped announcing itself"),
    ENDPOINT_LEAVING(1505, Level.INFO, "endpoint {endpoint} is leaving; no new work is sent to it"),

    ENDPOINT_ROUTABLE(1506, Level.INFO, "endpoint {endpoint} at {address} in {zone} may be sent requests for {model}"),
    ENDPOINT_NOT_ROUTABLE(1507, Level.INFO, "endpoint {endpoint} gets no new requests; {in_flight} are in flight"),
    ENDPOINT_PAUSED(
            1508, Level.INFO, "endpoint {endpoint} gets no requests for {pause_ms} ms; it asked for {asked_ms}"),

    ENDPOINT_LIMITED(
            1509,
            Level.INFO,
            "endpoint {endpoint} takes {requests_per_second} requests a second from all nodes together, {share} of this"
                    + " node"),
    ENDPOINT_UNLIMITED(1510, Level.INFO, "endpoint {endpoint} states no limit any more"),
    ENDPOINT_CONNECT_FAILED(
            1511,
            Level.WARNING,
            "no connection to endpoint {endpoint} at {address} could be opened for request {request} after"
                    + " {elapsed_ms} ms: {cause}"),
    ENDPOINT_LINKS_CHANGED(
            1512,
            Level.WARNING,
            "links to endpoints are {state}: endpoints {failed} failed since a connection was last opened; {elapsed_ms}"
                    + " ms in the state before, {peers} entry nodes take requests"),
    CRASH_REPORTS_DROPPED(
            1513,
            Level.INFO,
            "{count} reports of lost requests are given up, the oldest first, as too many wait for a leader"),
    ENDPOINT_WITHDRAWAL(1514, Level.INFO, "endpoint VM {vm} leaves, up to heartbeat {sequence}: {outcome}"),
    ENDPOINT_CONTESTED(
            1515,
            Level.WARNING,
            "a heartbeat of {vm} for service {service} at {address} contradicts {known}, heard {silent_ms} ms ago"),
    ENDPOINT_CONFLICT_SETTLED(
            1516, Level.INFO, "heartbeat of {vm} at {address} is {outcome}: {verdict}; it contradicted {others}"),
    ENDPOINT_QUESTION_UNANSWERED(
            1517, Level.INFO, "the question whether {vm} is at {address} got no response: {cause}"),
    ENDPOINT_LOSS_DECIDED(
            1518,
            Level.INFO,
            "the loss of endpoint {endpoint} {outcome}: {verdict}; {requests} requests were in flight"),
    LOSSES_DROPPED(
            1519,
            Level.WARNING,
            "{count} reports of lost requests were given up undecided in this term, as too many endpoints or requests"
                    + " were lost"),

    REQUEST_REFUSED(1601, Level.INFO, "request {request} of organisation {organisation} refused with {code}: {cause}"),
    REQUEST_RETRIED(1602, Level.INFO, "request {request} retried on endpoint {endpoint}: {cause}"),
    STREAM_RESUMED(1603, Level.INFO, "stream of request {request} resumed on endpoint {endpoint}: {cause}"),
    CLAIM_COMMITTED(1604, Level.DEBUG, "claim {key} of organisation {organisation} committed for one send"),
    CLAIM_UNKNOWN(
            1605, Level.WARNING, "claim {key} of organisation {organisation} ended with unknown outcome: {cause}"),
    REQUEST_QUARANTINED(
            1606, Level.WARNING, "request digest {digest} quarantined after it crashed {crashes} endpoints"),
    ANSWER_REJECTED(1607, Level.WARNING, "response of endpoint {endpoint} to request {request} rejected: {cause}"),
    REQUEST_FAULT(1608, Level.ERROR, "request {request} failed with an internal error: {cause}"),
    REQUEST_SENT(
            1609,
            Level.INFO,
            "request {request} of {organisation} on route {route} sent to {endpoint}: {running} requests running there,"
                    + " {predicted_ms} ms predicted, {candidates} candidates, view {view_age_ms} ms old, configuration"
                    + " {version}, {remaining_ms} ms left"),
    REQUEST_ANSWERED(
            1610,
            Level.INFO,
            "request {request} answered with {status} by {endpoint}: first bytes after {first_ms} ms, complete after"
                    + " {elapsed_ms} ms, {sends} sends, {events} events"),
    REQUEST_FAILED(1611, Level.WARNING, "request {request} failed with {code} after {elapsed_ms} ms: {cause}"),
    REQUEST_CANCELLED(1612, Level.INFO, "request {request} cancelled by its caller after {elapsed_ms} ms"),
    REQUEST_LOST(
            1613,
            Level.WARNING,
            "request {request} with digest {digest} and prompt parts {parts} was in flight at {endpoint} when its"
                    + " connection failed, {elapsed_ms} ms after the send, {events} events: {cause}"),
    PROMPT_PART_QUARANTINED(
            1614, Level.WARNING, "prompt part {part} quarantined: requests with it were lost with {losses} endpoints"),
    PROMPT_PART_RELEASED(1615, Level.INFO, "prompt part {part} is no longer quarantined"),
    PROMPT_PART_TRIAL(1616, Level.INFO, "request {request} is sent as the trial of its quarantined prompt part"),
    REQUEST_RELAYED(
            1617,
            Level.INFO,
            "request {request} relayed to entry node {peer}, as this node reaches no endpoint: {peers} nodes to choose"
                    + " from, view {view_age_ms} ms old, {remaining_ms} ms left"),
    RELAYED_REQUEST_ARRIVED(
            1618,
            Level.INFO,
            "request {request} was relayed by another entry node after {attempts} attempts that may have run"),
    RESPONSE_CUT(
            1619,
            Level.WARNING,
            "response to request {request} cut with {cause} after {events} events, {remaining_ms} ms before its deadline,"
                    + " configuration {version}, {sends} sends: {detail}"),
    CALLER_CONNECTION_FAILED(1620, Level.WARNING, "connection to the caller of request {request} failed: {cause}"),
    REQUEST_KEPT(1621, Level.INFO, "request {request} is kept: {step}, since {cause}"),
    REQUEST_TRIAL(1622, Level.INFO, "request {request} is sent as the trial of its own quarantine"),
    REQUEST_RELEASED(1623, Level.INFO, "request digest {digest} is no longer quarantined"),

    PEER_SILENT(1701, Level.WARNING, "connection to node {peer} is silent for {elapsed_ms} ms and was closed"),
    PEER_RECONNECTED(1702, Level.INFO, "connection to node {peer} opened again after {elapsed_ms} ms"),
    PEER_CALL_FAILED(1703, Level.WARNING, "call {call} to node {peer} failed: {cause}"),

    RECORDS_SUPPRESSED(1801, Level.WARNING, "{count} records of event {suppressed_event} were suppressed");

    /** Value of a request field if a connection was opened for a probe and not for a request. */
    public static final String PROBE = "probe";

    private final int number;
    private final Level level;
    private final String template;
    private final ImmutableList<String> fields;

    LogEvent(int number, Level level, String template) {
        this.number = number;
        this.level = level;
        this.template = template;
        this.fields = fieldsOf(template);
    }

    private static ImmutableList<String> fieldsOf(String template) {
        return Pattern.compile("\\{([a-z_]+)}")
                .matcher(template)
                .results()
                .map(match -> match.group(1))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the number by which docs and alerts refer to the event. */
    public int number() {
        return number;
    }

    /** Returns the name as it is written in the log, for example {@code node_started}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the level at which the event is logged. */
    public Level level() {
        return level;
    }

    /** Returns the message template, with the field names in braces. */
    public String template() {
        return template;
    }

    /** Returns the field names in the order in which their values are passed. */
    public ImmutableList<String> fields() {
        return fields;
    }
}
