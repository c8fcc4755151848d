package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.wigeongrade.decisions.grouping.EndpointEvidence;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * What the entry nodes last reported of the endpoints.
 *
 * <p>Invariant: a report counts until the node's next one, or until the node is forgotten. Not thread safe; {@link
 * LeaderTerm} guards it.
 */
final class EvidenceTable {
    private record Report(long receivedNanos, List<UsageRecord> usage) {}

    private final Map<NodeName, Report> reports = new HashMap<>();
    private final Map<VmIncarnation, Long> progressedNanos = new HashMap<>();

    void report(NodeName entryNode, List<UsageRecord> usage, long nowNanos) {
        reports.put(entryNode, new Report(nowNanos, usage));
        usage.stream()
                .filter(UsageRecord::isProgressed)
                .forEach(record -> progressedNanos.merge(
                        lifeOf(record),
                        nowNanos - TimeUnit.MILLISECONDS.toNanos(record.getSinceProgressMs()),
                        Math::max));
    }

    /** Returns the number of entry nodes that pulled of late. */
    int entryNodes(long nowNanos) {
        forget(nowNanos);
        return reports.size();
    }

    /** Returns what the other entry nodes have at each endpoint, summed up. */
    ImmutableMap<String, Integer> elsewhere(NodeName asking, ToIntFunction<UsageRecord> amount) {
        final Map<String, Integer> sums = new HashMap<>();
        reports.forEach((node, report) -> {
            if (!node.equals(asking)) {
                report.usage().forEach(record -> sums.merge(record.getVm(), amount.applyAsInt(record), Integer::sum));
            }
        });
        return ImmutableMap.copyOf(sums);
    }

    /** Returns the evidence for each endpoint that was reported. */
    ImmutableMap<VmName, EndpointEvidence> evidence(long nowNanos) {
        forget(nowNanos);
        final Map<VmName, EndpointEvidence> found = new HashMap<>();
        for (final Report report : reports.values()) {
            final long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - report.receivedNanos());
            for (final UsageRecord record : report.usage()) {
                found.merge(VmName.of(record.getVm()), evidenceOf(record, ageMs), EvidenceTable::both);
            }
        }
        return ImmutableMap.copyOf(found);
    }

    private EndpointEvidence evidenceOf(UsageRecord record, long ageMs) {
        final long stalledMs = record.getInFlight() == 0 ? Long.MAX_VALUE : record.getSinceProgressMs() + ageMs;
        return new EndpointEvidence(
                record.getInFlight(),
                stalledMs,
                progressedNanos.getOrDefault(lifeOf(record), Long.MIN_VALUE),
                record.isRefusedConnection());
    }

    private static EndpointEvidence both(EndpointEvidence first, EndpointEvidence second) {
        return new EndpointEvidence(
                first.inFlight() + second.inFlight(),
                Math.min(first.stalledMs(), second.stalledMs()),
                Math.max(first.progressedNanos(), second.progressedNanos()),
                first.refusedConnection() || second.refusedConnection());
    }

    private void forget(long nowNanos) {
        final long forgottenNanos = TimeUnit.MILLISECONDS.toNanos(FleetTimings.ENTRY_FORGOTTEN_MS);
        reports.values().removeIf(report -> nowNanos - report.receivedNanos() > forgottenNanos);
        progressedNanos.values().removeIf(nanos -> nowNanos - nanos > forgottenNanos);
    }

    private static VmIncarnation lifeOf(UsageRecord record) {
        return new VmIncarnation(VmName.of(record.getVm()), record.getIncarnation());
    }
}
