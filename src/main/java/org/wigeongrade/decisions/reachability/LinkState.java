package org.wigeongrade.decisions.reachability;

import java.util.Locale;

/** What an entry node believes of its own links to endpoints. Immutable; safe for use from any thread. */
public enum LinkState {
    /** Connections can be opened; a failure is the fault of its endpoint. */
    WORKING(true, true),
    /** Several endpoints failed in a row, and probes of others are under way. */
    IN_DOUBT(true, false),
    /** No endpoint can be reached from this node, whatever their own state. */
    CUT(false, false);

    private final boolean sendsDirectly;
    private final boolean showsEndpointFaults;

    LinkState(boolean sendsDirectly, boolean showsEndpointFaults) {
        this.sendsDirectly = sendsDirectly;
        this.showsEndpointFaults = showsEndpointFaults;
    }

    /** Returns whether the node sends requests to endpoints itself. */
    public boolean sendsDirectly() {
        return sendsDirectly;
    }

    /** Returns whether the failures that the node observes are evidence against endpoints. */
    public boolean showsEndpointFaults() {
        return showsEndpointFaults;
    }

    /** Returns the value for the log. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
