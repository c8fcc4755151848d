package org.wigeongrade.fleet.entry;

import com.google.common.primitives.Ints;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Headers that entry nodes add for each other to requests that one relays to the other. Stateless. */
final class RelayHeaders {
    /** Earlier attempts of the request that may have run; its presence marks a relayed request. */
    private static final String EARLIER_ATTEMPTS = "x-wigeongrade-earlier-attempts";
    /** Present in a response if the node could not take the request, so that another one may be tried. */
    private static final String NOT_TAKEN = "x-wigeongrade-not-taken";

    private RelayHeaders() {}

    static void mark(HttpHeaders request, int earlierAttempts) {
        request.set(EARLIER_ATTEMPTS, earlierAttempts);
    }

    /** Removes the mark and returns the earlier attempts that may have run; empty if the header is missing or malformed. */
    static Optional<Integer> takeEarlierAttempts(HttpHeaders request) {
        final Optional<Integer> attempts = Optional.ofNullable(request.get(EARLIER_ATTEMPTS))
                .map(Ints::tryParse)
                .filter(count -> count >= 0);
        request.remove(EARLIER_ATTEMPTS);
        return attempts;
    }

    static String notTaken() {
        return NOT_TAKEN;
    }

    static boolean isNotTaken(HttpHeaders response) {
        return response.contains(NOT_TAKEN);
    }
}
