package org.wigeongrade.nodes;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.outcomes.QuarantinedRequest;
import org.wigeongrade.fleet.thrift.QuarantinedRequestRecord;

/**
 * Converts quarantined requests to and from their Thrift form. Times become durations, since two processes have
 * different clocks. Stateless; safe for use from any thread.
 */
public final class QuarantinedRequestRecords {
    private QuarantinedRequestRecords() {}

    /** Returns the records of requests, in a message that is sent now. */
    public static ImmutableList<QuarantinedRequestRecord> toThrift(
            Collection<QuarantinedRequest> requests, long nowNanos) {
        return requests.stream()
                .map(request -> new QuarantinedRequestRecord(
                                request.digest(), TimeUnit.NANOSECONDS.toMillis(request.untilNanos() - nowNanos))
                        .setFailedTrials(request.failedTrials())
                        .setOnTrial(request.onTrial()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the requests of a message that was sent at {@code sentNanos}; the list may be null. */
    public static ImmutableList<QuarantinedRequest> fromThrift(List<QuarantinedRequestRecord> records, long sentNanos) {
        return Optional.ofNullable(records).orElse(List.of()).stream()
                .map(record -> new QuarantinedRequest(
                        record.getRequestDigest(),
                        sentNanos + TimeUnit.MILLISECONDS.toNanos(record.getRemainingMs()),
                        record.getFailedTrials(),
                        record.isOnTrial()))
                .collect(ImmutableList.toImmutableList());
    }
}
