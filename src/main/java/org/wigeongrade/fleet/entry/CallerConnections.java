package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/** The open connections from callers. Used on the event loop only. */
final class CallerConnections {
    private final Set<CallerConnection> open = new HashSet<>();
    private boolean closing;
    private boolean refusing;
    private OptionalLong stopDeadlineNanos = OptionalLong.empty();

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

    /** Limits the requests that are not being served yet to what can be finished until the node ends. */
    void limitNewRequests(long deadlineNanos) {
        stopDeadlineNanos = OptionalLong.of(deadlineNanos);
    }

    /** Returns when the node ends, on its monotonic clock; empty while it is not stopping. */
    OptionalLong stopDeadlineNanos() {
        return stopDeadlineNanos;
    }

    /** Ends the requests that are being served with an error. */
    void failUnfinished() {
        ImmutableList.copyOf(open).forEach(CallerConnection::failUnfinished);
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
