package org.wigeongrade.ids;

import java.util.Comparator;

/**
 * Orders the orders given to endpoints: the leader's term, then a sequence within it.
 *
 * <p>Invariant: a later order carries a larger token. Immutable; safe for use from any thread.
 */
public record FencingToken(long term, long sequence) implements Comparable<FencingToken> {
    private static final Comparator<FencingToken> ORDER =
            Comparator.comparingLong(FencingToken::term).thenComparingLong(FencingToken::sequence);

    /** Smaller than every token that a leader issues. */
    public static final FencingToken NONE = new FencingToken(0, 0);

    @Override
    public int compareTo(FencingToken other) {
        return ORDER.compare(this, other);
    }
}
