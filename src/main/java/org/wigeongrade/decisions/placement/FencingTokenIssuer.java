package org.wigeongrade.decisions.placement;

import org.wigeongrade.ids.FencingToken;

/**
 * Issues fencing tokens for one plan.
 *
 * <p>Invariant: each token is larger than {@code last}, the largest token known at the start, and than all issued
 * before. Not thread safe.
 */
final class FencingTokenIssuer {
    private final long term;
    private FencingToken last;

    FencingTokenIssuer(long term, FencingToken last) {
        this.term = term;
        this.last = last;
    }

    /** Issues a token of this leader's term, or of a later term if {@code last} already belongs to one. */
    FencingToken next() {
        last = term > last.term() ? new FencingToken(term, 1) : new FencingToken(last.term(), last.sequence() + 1);
        return last;
    }
}
