package org.wigeongrade.metrics;

/** Names and help texts of the series; docs/operators/metrics.md lists the same ones. Immutable; safe for any thread. */
public enum MetricName {
    REFUSALS("wigeongrade_refusals_total", "Error answers by reason, the codes of docs/ERRORS.md."),
    RETRIES("wigeongrade_retries_total", "Requests sent again or resumed, by reason."),
    REQUESTS("wigeongrade_requests_total", "Requests ended, by availability zone of the endpoint and outcome."),
    GROUP_DOWNTIME("wigeongrade_group_downtime_seconds_total", "Seconds that declared groups did not serve, by pool."),
    STRANDED_ACCELERATORS(
            "wigeongrade_stranded_accelerator_seconds_total",
            "Accelerators held but not serving in a whole group, multiplied by seconds, by pool."),
    FIRST_BYTE("wigeongrade_time_to_first_byte_seconds", "Time from a request's arrival to its first answer byte."),
    REQUEST_DURATION("wigeongrade_request_duration_seconds", "Time from a request's arrival to the end of its answer."),
    TOKEN_GAP("wigeongrade_token_gap_seconds", "Time between two events of a streamed answer."),
    VIEW_LEASE("wigeongrade_view_lease_valid", "1 while this node holds a valid view lease, else 0."),
    REVISION("wigeongrade_revision_in_force", "Configuration revision in force on this node."),
    IN_FLIGHT("wigeongrade_requests_in_flight", "Requests that this node is serving now."),
    LEADER("wigeongrade_leader", "1 while this node leads the control VMs, else 0.");

    private final String seriesName;
    private final String help;

    MetricName(String seriesName, String help) {
        this.seriesName = seriesName;
        this.help = help;
    }

    /** Returns the name of the series as it is exposed. */
    public String seriesName() {
        return seriesName;
    }

    /** Returns one sentence on what the series counts. */
    public String help() {
        return help;
    }
}
