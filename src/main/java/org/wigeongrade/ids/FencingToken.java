package org.wigeongrade.ids;

import java.util.Comparator;

/**
 * Fencing token of an order to an endpoint: the leader's term, then a sequence number within the term.
 *
 * <p>Invariant: a later order carries a larger token. Immutable; safe for use from any thread.
 */
public record FencingToken(long term, long sequence) implements Comparable<FencingToken> {
    private static final Comparator<FencingToken> ORDER =
            Comparator.comparingLong(FencingToken::term).thenComparingLong(FencingToken::sequence);

    /** A token smaller than every token that a leader issues. */
    public static final FencingToken NONE = new FencingToken(0, 0);

    @Override
    public int compareTo(FencingToken other) {
        return ORDER.compare(this, other);
    }
}
