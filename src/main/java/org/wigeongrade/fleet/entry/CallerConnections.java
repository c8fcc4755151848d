package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Set;

/** The open connections of callers. Used on the event loop only. */
final class CallerConnections {
    private final Set<CallerConnection> open = new HashSet<>();
    private boolean closing;

    void add(CallerConnection connection) {
        open.add(connection);
    }

    void remove(CallerConnection connection) {
        open.remove(connection);
    }

    /** Ends each connection with its next answer. */
    void closeWithNextAnswer() {
        closing = true;
    }

    boolean areClosing() {
        return closing;
    }

    void closeIdle() {
        ImmutableList.copyOf(open).forEach(CallerConnection::closeIfIdle);
    }

    /** Returns the requests that are being served. */
    int inFlight() {
        return (int) open.stream().filter(connection -> !connection.isIdle()).count();
    }
}
