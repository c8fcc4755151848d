package org.wigeongrade.fleet.entry;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bodies of endpoints' responses that are held in memory, and their common limit. Used on the event loop only.
 *
 * <p>Invariants: the bodies together never exceed {@code maxBytes}. Above half of it, only one large body is read on,
 * so that bodies that end complete one after the other, and one that does not end reaches its own limit; if that is
 * not enough, the largest incomplete body is given up.
 */
final class BufferedBodies {
    /** Bodies up to this size are never paused; most responses are far smaller. */
    static final int SMALL_BODY_BYTES = 64 * 1024;

    private final long maxBytes;
    private final int maxBodyBytes;
    private final Set<BufferedBody> bodies = new LinkedHashSet<>();
    private long totalBytes;

    /**
     * @param maxBytes limit for all bodies together
     * @param maxBodyBytes limit for one body
     */
    BufferedBodies(long maxBytes, int maxBodyBytes) {
        this.maxBytes = maxBytes;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns a new, empty body. */
    BufferedBody open(BufferedBody.Source source) {
        return new BufferedBody(this, source);
    }

    int maxBodyBytes() {
        return maxBodyBytes;
    }

    long totalBytes() {
        return totalBytes;
    }

    /** Counts bytes that are about to be added to a body; returns whether the body may hold them. */
    boolean add(BufferedBody body, int bytes) {
        bodies.add(body);
        totalBytes += bytes;
        body.reserved(bytes);
        while (totalBytes > maxBytes) {
            final BufferedBody largest = bodies.stream()
                    .filter(held -> !held.isComplete())
                    .max(Comparator.comparingInt(BufferedBody::sizeBytes))
                    .orElseThrow();
            largest.giveUp("the responses held in memory exceed " + maxBytes + " bytes");
        }
        updateReading();
        return !body.isReleased();
    }

    /** Frees the bytes of a body. */
    void remove(BufferedBody body) {
        if (bodies.remove(body)) {
            totalBytes -= body.sizeBytes();
            updateReading();
        }
    }

    private void updateReading() {
        final boolean scarce = totalBytes > maxBytes / 2;
        boolean oneReads = false;
        for (final BufferedBody body : bodies) {
            final boolean large = body.sizeBytes() > SMALL_BODY_BYTES;
            body.setReading(!scarce || !large || !oneReads || body.isComplete());
            oneReads = oneReads || (large && !body.isComplete());
        }
    }
}
