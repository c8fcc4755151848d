package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.wigeongrade.ids.VmName;

/**
 * Decoded status and headers of an endpoint's response. The headers are not modified after decoding.
 *
 * @param attemptId id of the request that the response belongs to, if the endpoint stated it
 * @param notRun whether the endpoint stated that it did not run the request
 * @param signed whether the endpoint signed the response
 * @param contentEncoded whether the body has a content encoding, so that it is not the body that the endpoint sent
 * @param selfDelimited whether the response states its length or is sent in chunks, so that its end can be told from
 *     the end of its connection
 * @param faultyVm VM that the endpoint named as the cause of its refusal
 * @param leaving whether the endpoint stated that it leaves and must get no new requests
 * @param pauseMs for how long the endpoint wants no requests from this node; absent if it does not mind
 * @param requestsPerSecond requests a second that the endpoint takes from all nodes together; absent if it states no limit
 * @param reusableForMs how long the connection may stay idle before it is reused; absent if it must not be reused
 * @param headers headers that may be forwarded to the caller
 */
public record ResponseHead(
        int status,
        Optional<String> attemptId,
        boolean notRun,
        boolean signed,
        boolean contentEncoded,
        boolean selfDelimited,
        Optional<VmName> faultyVm,
        boolean leaving,
        OptionalLong pauseMs,
        OptionalDouble requestsPerSecond,
        OptionalLong reusableForMs,
        HttpHeaders headers) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;
    /** Statuses that tell a caller that its request did not run and never will. */
    private static final ImmutableSet<Integer> NOT_RUN_STATUSES = ImmutableSet.of(408, 421, 429, 503);

    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    public boolean isServerError() {
        return status >= FIRST_SERVER_ERROR;
    }

    /** Returns whether the endpoint stated that it did not run this request, and not another one. */
    public boolean isRefusalOf(Optional<String> requestAttemptId) {
        return notRun && attemptId.equals(requestAttemptId);
    }

    /** Returns whether the status tells a caller that its request did not run, whatever the endpoint did. */
    public boolean promisesNotRun() {
        return NOT_RUN_STATUSES.contains(status);
    }
}
