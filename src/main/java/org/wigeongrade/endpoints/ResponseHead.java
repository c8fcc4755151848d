package org.wigeongrade.endpoints;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableListMultimap;
import java.util.Optional;
import org.wigeongrade.ids.AttemptId;

/**
 * Status and headers of an endpoint's response. Header names are in lower case. Immutable; safe for use from any
 * thread.
 */
public record ResponseHead(int status, ImmutableListMultimap<String, String> headers) {
    private static final String NOT_RUN_HEADER = "x-request-not-run";
    private static final String STATE_HEADER = "x-endpoint-state";
    private static final String REQUEST_ID_HEADER = "x-request-id";
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Returns the first value of a header; its name must be in lower case. */
    public Optional<String> header(String lowerCaseName) {
        return headers.get(lowerCaseName).stream().findFirst();
    }

    /** Returns whether the endpoint states that it refused the request before running any of it. */
    public boolean isRefusedBeforeRun() {
        return (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE)
                && header(NOT_RUN_HEADER)
                        .filter(value -> Ascii.equalsIgnoreCase(value, "true"))
                        .isPresent();
    }

    /** Returns whether the endpoint states that it was cold when it accepted the request. */
    public boolean isFromColdEndpoint() {
        return header(STATE_HEADER).filter("cold"::equals).isPresent();
    }

    /** Returns whether the response carries the id of an attempt other than the one sent. */
    public boolean isForOtherAttempt(AttemptId sent) {
        return header(REQUEST_ID_HEADER).filter(id -> !id.equals(sent.value())).isPresent();
    }
}
