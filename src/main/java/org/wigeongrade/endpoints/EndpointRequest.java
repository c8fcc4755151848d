package org.wigeongrade.endpoints;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import org.wigeongrade.ids.AttemptId;

/**
 * One request to one endpoint, sent on its own connection.
 *
 * <p>{@code address} is {@code ip:port}; {@code pathAndQuery} begins with a slash. {@code deadlineNanos} is on the
 * monotonic clock of this process. {@code stallTimeout} is the longest time without a byte of the response. Immutable;
 * do not change {@code body}.
 */
@SuppressWarnings("ArrayRecordComponent")
public record EndpointRequest(
        AttemptId attemptId,
        String address,
        String method,
        String pathAndQuery,
        ImmutableMap<String, String> headers,
        byte[] body,
        int priority,
        long deadlineNanos,
        Duration connectTimeout,
        Duration stallTimeout) {}
