package org.wigeongrade.decisions.placement;

import org.wigeongrade.ids.FencingToken;

/**
 * Issues fencing tokens for one plan.
 *
 * <p>Invariant: each token is larger than the last one in the log and than all issued before. Not thread safe.
 */
final class TokenSource {
    private final long term;
    private FencingToken last;

    TokenSource(long term, FencingToken last) {
        this.term = term;
        this.last = last;
    }

    FencingToken next() {
        last = term > last.term() ? new FencingToken(term, 1) : new FencingToken(last.term(), last.sequence() + 1);
        return last;
    }
}
