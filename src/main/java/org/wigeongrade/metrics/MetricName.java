package org.wigeongrade.metrics;

/** Names and help texts of the metrics; docs/operators/metrics.md lists the same ones. Immutable; thread safe. */
public enum MetricName {
    REFUSALS("wigeongrade_refusals_total", "Error responses by reason, which is a code of docs/ERRORS.md."),
    CLIENT_CLOSINGS(
            "wigeongrade_client_closings_total",
            "Connections of clients that were closed before their next request was complete, by cause."),
    CUT_RESPONSES(
            "wigeongrade_responses_cut_total",
            "Responses that had begun and that this node ended before they were complete, by cause."),
    INVALID_RESPONSES(
            "wigeongrade_invalid_responses_total",
            "Responses to this node whose bytes break a rule of HTTP, by the rule."),
    RETRIES("wigeongrade_retries_total", "Requests retried or resumed, by reason."),
    LOST_IN_FLIGHT(
            "wigeongrade_requests_lost_total",
            "Requests in flight at an endpoint when its connection failed, which a crash of the endpoint may explain."),
    LOST_REPORTS_DROPPED(
            "wigeongrade_lost_reports_dropped_total",
            "Reports of lost requests that this node gave up, because too many waited for a leader."),
    ENDPOINT_CONNECTIONS(
            "wigeongrade_endpoint_connections_total", "Attempts to open a connection to an endpoint, by outcome."),
    RELAYED("wigeongrade_requests_relayed_total", "Requests sent to another entry VM because no endpoint was reached."),
    ENDPOINT_LINKS_CUT(
            "wigeongrade_endpoint_links_cut",
            "1 while this entry VM reaches no endpoint and relays its requests, else 0."),
    REQUESTS("wigeongrade_requests_total", "Requests that ended, by availability zone of the endpoint and by outcome."),
    GROUP_DOWNTIME("wigeongrade_group_downtime_seconds_total", "Seconds that declared groups did not serve, by pool."),
    STRANDED_ACCELERATORS(
            "wigeongrade_stranded_accelerator_seconds_total",
            "Accelerators held but not serving in a complete group, multiplied by seconds, by pool."),
    FIRST_BYTE(
            "wigeongrade_time_to_first_byte_seconds",
            "Time from a request's arrival to the first byte of its response."),
    REQUEST_DURATION(
            "wigeongrade_request_duration_seconds", "Time from a request's arrival to the end of its response."),
    TOKEN_GAP("wigeongrade_token_gap_seconds", "Time between two consecutive events of a streamed response."),
    VIEW_LEASE("wigeongrade_view_lease_valid", "1 while this node holds a valid view lease, else 0."),
    REVISION("wigeongrade_revision_in_force", "Configuration revision in force on this node."),
    IN_FLIGHT("wigeongrade_requests_in_flight", "Requests that this node is serving now."),
    LEADER("wigeongrade_leader", "1 while this node is the leader of the control VMs, else 0.");

    private final String exposedName;
    private final String help;

    MetricName(String exposedName, String help) {
        this.exposedName = exposedName;
        this.help = help;
    }

    /** Returns the name under which the metric is exposed. */
    public String exposedName() {
        return exposedName;
    }

    /** Returns one sentence that describes what the metric measures. */
    public String help() {
        return help;
    }
}
