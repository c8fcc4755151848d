package org.wigeongrade.fleet.net;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.metrics.ClientClosing;

/**
 * What a process holds for its clients, and how many connections they have. When there is no room for more, the client
 * that has held the most for the longest makes room, so that clients whose requests arrive without delay are served.
 *
 * <p>Invariants: never more than {@code maxBytes} are reserved; of more than {@code maxConnections} connections, those
 * without a request in progress are closed. Used on the event loop only.
 */
public final class ClientMemory {
    /** A connection of a client. Used on the event loop only. */
    interface Holder {
        /** Returns the bytes that are reserved for the connection. */
        long heldBytes();

        /** Returns since when the connection has been waiting for its client, on the clock of {@link System#nanoTime}. */
        long waitingSinceNanos();

        /** Returns whether the connection waits for its client, so that closing it ends no request that was read. */
        boolean waitsForClient();

        /** Returns whether a complete request has arrived on the connection. */
        boolean hasServed();

        /** Closes the connection and releases what is reserved for it. */
        void shed(ClientClosing cause, String detail);
    }

    private final long maxBytes;
    private final int maxConnections;
    private final WaitClock waitClock;
    private final Set<Holder> holders = new LinkedHashSet<>();
    private long reservedBytes;

    /**
     * @param maxBytes largest sum of the bytes that are held for all connections
     * @param maxConnections number of connections above which some are closed
     */
    public ClientMemory(long maxBytes, int maxConnections, WaitClock waitClock) {
        this.maxBytes = maxBytes;
        this.maxConnections = maxConnections;
        this.waitClock = waitClock;
    }

    /** Returns the number of reserved bytes. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Adds a connection; closes the one that has been waiting for longest if there are too many. */
    void add(Holder connection) {
        holders.add(connection);
        if (holders.size() > maxConnections) {
            longestWaiting(connection)
                    .ifPresent(waiting -> waiting.shed(
                            ClientClosing.TOO_MANY_CONNECTIONS, "more than " + maxConnections + " connections"));
        }
    }

    void remove(Holder connection) {
        holders.remove(connection);
    }

    /**
     * Reserves bytes for a connection, at the expense of others if need be; returns false and reserves none if every
     * other one holds less or was read completely.
     */
    boolean tryReserve(Holder connection, long bytes) {
        while (reservedBytes + bytes > maxBytes) {
            final Optional<Holder> largest = mostHolding();
            if (largest.isEmpty() || largest.get() == connection) {
                return false;
            }
            largest.get()
                    .shed(
                            ClientClosing.HELD_MOST,
                            "no memory: " + largest.get().heldBytes()
                                    + " bytes held for a client that sends or reads slowly");
        }
        reservedBytes += bytes;
        return true;
    }

    /** Frees bytes that were reserved. */
    void release(long bytes) {
        reservedBytes -= bytes;
    }

    private Optional<Holder> longestWaiting(Holder newest) {
        final Predicate<Holder> isOther = holder -> holder != newest;
        return holders.stream()
                .filter(isOther.and(Holder::waitsForClient))
                .min(Comparator.comparing(Holder::hasServed).thenComparingLong(Holder::waitingSinceNanos));
    }

    /** Returns the connection with the largest product of bytes and waiting time. */
    private Optional<Holder> mostHolding() {
        final long nowNanos = waitClock.nowNanos();
        return holders.stream()
                .filter(holder -> holder.waitsForClient() && holder.heldBytes() > 0)
                .max(Comparator.comparingDouble(
                        holder -> (double) holder.heldBytes() * (nowNanos - holder.waitingSinceNanos())));
    }
}
