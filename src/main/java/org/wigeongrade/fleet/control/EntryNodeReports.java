package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.wigeongrade.decisions.grouping.EndpointObservation;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * The latest report of each entry node on the endpoints that it uses.
 *
 * <p>Invariant: a report is valid until the node's next one, or until it expires. Not thread safe; {@link LeaderTerm}
 * guards it.
 */
final class EntryNodeReports {
    private record Report(long receivedNanos, List<UsageRecord> usage) {}

    private final Map<NodeName, Report> reports = new HashMap<>();
    private final Map<VmIncarnation, Long> lastProgressNanos = new HashMap<>();

    /** Replaces the report of an entry node and notes when each endpoint last made progress. */
    void update(NodeName entryNode, List<UsageRecord> usage, long nowNanos) {
        reports.put(entryNode, new Report(nowNanos, usage));
        usage.stream()
                .filter(UsageRecord::isProgressed)
                .forEach(endpointUsage -> lastProgressNanos.merge(
                        incarnationOf(endpointUsage),
                        nowNanos - TimeUnit.MILLISECONDS.toNanos(endpointUsage.getSinceProgressMs()),
                        Math::max));
    }

    /** Returns the number of entry nodes whose last report has not expired. */
    int countEntryNodes(long nowNanos) {
        removeExpired(nowNanos);
        return reports.size();
    }

    /** Returns {@code amount} by VM, summed over all entry nodes except {@code excludedNode}. */
    ImmutableMap<String, Integer> sumOverOtherNodes(NodeName excludedNode, ToIntFunction<UsageRecord> amount) {
        final Map<String, Integer> sums = new HashMap<>();
        reports.forEach((node, report) -> {
            if (!node.equals(excludedNode)) {
                report.usage().forEach(record -> sums.merge(record.getVm(), amount.applyAsInt(record), Integer::sum));
            }
        });
        return ImmutableMap.copyOf(sums);
    }

    /** Returns the merged evidence for each endpoint that an entry node reported. */
    ImmutableMap<VmName, EndpointObservation> evidenceByVm(long nowNanos) {
        removeExpired(nowNanos);
        final Map<VmName, EndpointObservation> merged = new HashMap<>();
        for (final Report report : reports.values()) {
            final long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - report.receivedNanos());
            for (final UsageRecord record : report.usage()) {
                merged.merge(VmName.of(record.getVm()), evidenceOf(record, ageMs), EntryNodeReports::merge);
            }
        }
        return ImmutableMap.copyOf(merged);
    }

    private EndpointObservation evidenceOf(UsageRecord record, long ageMs) {
        final long stalledMs = record.getInFlight() == 0 ? Long.MAX_VALUE : record.getSinceProgressMs() + ageMs;
        return new EndpointObservation(
                record.getInFlight(),
                stalledMs,
                lastProgressNanos.getOrDefault(incarnationOf(record), Long.MIN_VALUE),
                record.isRefusedConnection());
    }

    private static EndpointObservation merge(EndpointObservation first, EndpointObservation second) {
        return new EndpointObservation(
                first.inFlight() + second.inFlight(),
                Math.min(first.shortestStallMs(), second.shortestStallMs()),
                Math.max(first.lastProgressNanos(), second.lastProgressNanos()),
                first.refusedConnection() || second.refusedConnection());
    }

    private void removeExpired(long nowNanos) {
        final long maxAgeNanos = TimeUnit.MILLISECONDS.toNanos(FleetTimings.ENTRY_EXPIRY_MS);
        reports.values().removeIf(report -> nowNanos - report.receivedNanos() > maxAgeNanos);
        lastProgressNanos.values().removeIf(nanos -> nowNanos - nanos > maxAgeNanos);
    }

    private static VmIncarnation incarnationOf(UsageRecord record) {
        return new VmIncarnation(VmName.of(record.getVm()), record.getIncarnation());
    }
}
