package org.wigeongrade.fleet;

/** Intervals and timeouts of the communication between the processes of a fleet. Stateless. */
public final class FleetTimings {
    /**
     * Time between two pulls of an entry node, in milliseconds; an eighth of the shortest time limit for applying
     * changes.
     */
    public static final int PULL_INTERVAL_MS = 250;

    /** Timeout for the reply to a pull, in milliseconds; several times what a busy leader needs. */
    public static final int PULL_TIMEOUT_MS = 700;

    /** Time between two exchanges of control nodes that have nothing urgent to report, in milliseconds. */
    public static final int EXCHANGE_INTERVAL_MS = 500;

    /** Timeout for the reply to an exchange, in milliseconds. */
    public static final int EXCHANGE_TIMEOUT_MS = 700;

    /** Timeout for a connection between nodes, in milliseconds; the network delay between VMs is a few milliseconds. */
    public static final int CONNECT_TIMEOUT_MS = 300;

    /**
     * Time between two planning steps of the leader, in milliseconds; a tenth of the time for a rejoin and formation.
     */
    public static final int PLAN_INTERVAL_MS = 50;

    /**
     * Minimum time between two planning steps, in milliseconds, so that reports that arrive together cause one step.
     */
    public static final int MIN_PLAN_INTERVAL_MS = 10;

    /** Time without a pull, in milliseconds, after which an entry node is no longer counted. */
    public static final long ENTRY_EXPIRY_MS = 3_000;

    private FleetTimings() {}
}
