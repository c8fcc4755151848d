package org.wigeongrade.nodes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.fleet.thrift.QuarantinedRequestRecord;

/**
 * Converts quarantined requests, by digest and with the end of their quarantine, to and from their Thrift form. Times
 * become durations, since two processes have different clocks. Stateless; safe for use from any thread.
 */
public final class QuarantinedRequestRecords {
    private QuarantinedRequestRecords() {}

    /** Returns the records of the requests whose quarantine has not ended. */
    public static ImmutableList<QuarantinedRequestRecord> toThrift(Map<String, Long> untilNanos, long nowNanos) {
        return ImmutableMap.copyOf(untilNanos).entrySet().stream()
                .map(entry -> new QuarantinedRequestRecord(
                        entry.getKey(), TimeUnit.NANOSECONDS.toMillis(entry.getValue() - nowNanos)))
                .filter(record -> record.getRemainingMs() > 0)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the requests of a message that was sent at {@code sentNanos}; the list may be null. */
    public static ImmutableMap<String, Long> fromThrift(List<QuarantinedRequestRecord> records, long sentNanos) {
        return Optional.ofNullable(records).orElse(List.of()).stream()
                .collect(ImmutableMap.toImmutableMap(
                        QuarantinedRequestRecord::getRequestDigest,
                        record -> sentNanos + TimeUnit.MILLISECONDS.toNanos(record.getRemainingMs())));
    }
}
