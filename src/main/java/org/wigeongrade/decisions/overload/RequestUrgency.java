package org.wigeongrade.decisions.overload;

import java.util.Optional;
import java.util.OptionalInt;
import org.wigeongrade.decisions.published.RequestRank;

/**
 * The order in which an endpoint admits the requests that wait there. Stateless.
 *
 * <p>The range is narrow and a retry is one step more urgent, so that the lowest rank is still admitted.
 */
public final class RequestUrgency {
    private static final int FIRST = 3;
    private static final int LAST = 7;

    private RequestUrgency() {}

    /**
     * Returns the urgency of a request, where lower values go first; empty if the endpoint's default applies.
     *
     * @param rank empty if all requests of the service have the same rank
     * @param isRetry whether the request was sent to another endpoint before
     */
    public static OptionalInt of(Optional<RequestRank> rank, boolean isRetry) {
        return rank.map(known -> OptionalInt.of(urgency(known) - (isRetry ? 1 : 0)))
                .orElse(OptionalInt.empty());
    }

    private static int urgency(RequestRank rank) {
        return FIRST + Math.round((float) (LAST - FIRST) * rank.position() / (rank.count() - 1));
    }
}
