package org.wigeongrade.decisions.published;

/**
 * Position of a request among the ranks that a configuration gives to the requests of one service. Immutable; safe for
 * use from any thread.
 *
 * @param position 0 for the requests that go first
 * @param count number of ranks, at least 2
 */
public record RequestRank(int position, int count) {
    @Override
    public String toString() {
        return "rank " + (position + 1) + " of " + count;
    }
}
