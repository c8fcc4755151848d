package org.wigeongrade.nodes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.outcomes.PartCompletions;
import org.wigeongrade.decisions.outcomes.PartQuarantine;
import org.wigeongrade.fleet.thrift.PartCompletionRecord;
import org.wigeongrade.fleet.thrift.QuarantinedPartRecord;
import org.wigeongrade.ids.PromptPartId;

/**
 * Converts what is known of prompt parts that crash endpoints to and from its Thrift form. Times become durations, since
 * two processes have different clocks. Stateless; safe for use from any thread.
 */
public final class PromptPartRecords {
    private PromptPartRecords() {}

    private static QuarantinedPartRecord toThrift(PartQuarantine part, long nowNanos) {
        return new QuarantinedPartRecord(
                part.part().value(),
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(part.untilNanos() - nowNanos)),
                part.failedTrials(),
                part.onTrial());
    }

    private static PartQuarantine fromThrift(QuarantinedPartRecord record, long sentNanos) {
        return new PartQuarantine(
                PromptPartId.of(record.getPart()),
                sentNanos + TimeUnit.MILLISECONDS.toNanos(record.getRemainingMs()),
                record.getFailedTrials(),
                record.isOnTrial());
    }

    static PartCompletions fromThrift(PartCompletionRecord record, long nowNanos) {
        return new PartCompletions(
                record.getCount(), nowNanos - TimeUnit.MILLISECONDS.toNanos(record.getSinceLastMs()));
    }

    /** Returns the records of the complete responses to requests with some parts. */
    public static ImmutableList<PartCompletionRecord> completionsToThrift(
            Map<PromptPartId, PartCompletions> completions, long nowNanos) {
        return ImmutableMap.copyOf(completions).entrySet().stream()
                .map(entry -> new PartCompletionRecord(
                        entry.getKey().value(),
                        entry.getValue().count(),
                        TimeUnit.NANOSECONDS.toMillis(
                                nowNanos - entry.getValue().lastNanos())))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the quarantined parts of a reply to a pull that was sent at {@code sentNanos}; the list may be null. */
    public static ImmutableList<PartQuarantine> quarantineFromThrift(
            List<QuarantinedPartRecord> records, long sentNanos) {
        return Optional.ofNullable(records).orElse(List.of()).stream()
                .map(record -> fromThrift(record, sentNanos))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the records of the quarantined parts. */
    public static ImmutableList<QuarantinedPartRecord> quarantineToThrift(List<PartQuarantine> parts, long nowNanos) {
        return parts.stream().map(part -> toThrift(part, nowNanos)).collect(ImmutableList.toImmutableList());
    }

    /** Returns the parts with these ids; the list may be null. */
    public static ImmutableSet<PromptPartId> partsFromThrift(List<String> ids) {
        return Optional.ofNullable(ids).orElse(List.of()).stream()
                .map(PromptPartId::of)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the ids of the parts. */
    public static ImmutableList<String> partsToThrift(Iterable<PromptPartId> parts) {
        return ImmutableList.copyOf(parts).stream().map(PromptPartId::value).collect(ImmutableList.toImmutableList());
    }
}
