package org.wigeongrade.fleet;

/** Times and sizes that the processes of a fleet keep among each other. Stateless. */
public final class FleetTimings {
    /** Time between two pulls of an entry node, in milliseconds: an eighth of the shortest bound that changes must meet. */
    public static final int PULL_INTERVAL_MS = 250;

    /** Longest wait for the answer to a pull, in milliseconds; several times a busy leader's answer. */
    public static final int PULL_TIMEOUT_MS = 700;

    /** Time between two exchanges of control nodes with nothing urgent to tell, in milliseconds. */
    public static final int EXCHANGE_INTERVAL_MS = 500;

    /** Longest wait for the answer to an exchange, in milliseconds. */
    public static final int EXCHANGE_TIMEOUT_MS = 700;

    /** Longest wait for a connection between nodes, in milliseconds; VMs are some milliseconds apart. */
    public static final int CONNECT_TIMEOUT_MS = 300;

    /** Time between two steps of the leader's planning, in milliseconds; a tenth of a rejoin and formation. */
    public static final int PLAN_INTERVAL_MS = 50;

    /** Shortest time between two steps of the planning, in milliseconds, so that news that come together make one step. */
    public static final int SHORTEST_PLAN_INTERVAL_MS = 10;

    /** An entry node that did not pull for this long does not count any more, in milliseconds. */
    public static final long ENTRY_FORGOTTEN_MS = 3_000;

    private FleetTimings() {}
}
