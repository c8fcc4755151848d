package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Set;

/** The open connections from callers. Used on the event loop only. */
final class CallerConnections {
    private final Set<CallerConnection> open = new HashSet<>();
    private boolean closing;
    private boolean refusing;

    void add(CallerConnection connection) {
        open.add(connection);
    }

    void remove(CallerConnection connection) {
        open.remove(connection);
    }

    /** Closes each connection after its next response. */
    void closeAfterNextResponse() {
        closing = true;
    }

    boolean isClosing() {
        return closing;
    }

    /** Refuses each request that is not being served yet. */
    void refuseNewRequests() {
        refusing = true;
    }

    boolean isRefusing() {
        return refusing;
    }

    void closeIdle() {
        ImmutableList.copyOf(open).forEach(CallerConnection::closeIfIdle);
    }

    /** Returns the number of requests that are being served. */
    int inFlight() {
        return (int) open.stream().filter(connection -> !connection.isIdle()).count();
    }
}
