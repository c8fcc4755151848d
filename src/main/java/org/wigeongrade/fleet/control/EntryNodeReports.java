package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.grouping.EndpointObservation;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * The latest report of each entry node on the endpoints that it uses.
 *
 * <p>Invariants: a report is valid until the node's next one, or until it expires; {@code totals} is always the sum of
 * the valid reports, so that a pull costs time in proportion to the endpoints and not to the entry nodes as well. Not
 * thread safe; {@link LeaderTerm} guards it.
 */
final class EntryNodeReports {
    private record Observed(VmIncarnation vm, UsageRecord usage) {}

    private record Report(long receivedNanos, ImmutableList<Observed> observed) {}

    /** Sums over the reports that mention one VM. */
    private static final class Total {
        private int reports;
        private int inFlight;
        private int unreadTokens;

        void add(UsageRecord usage, int sign) {
            reports += sign;
            inFlight += sign * usage.getInFlight();
            unreadTokens += sign * usage.getUnreadTokens();
        }
    }

    private final Map<NodeName, Report> reports = new HashMap<>();
    private ImmutableSet<NodeName> entryNodes = ImmutableSet.of();
    private final Map<VmName, Total> totals = new HashMap<>();
    private final Map<VmIncarnation, Long> lastProgressNanos = new HashMap<>();

    /** Replaces the report of an entry node and notes when each endpoint last made progress. */
    void update(NodeName entryNode, List<UsageRecord> usage, long nowNanos) {
        final ImmutableList<Observed> observed = usage.stream()
                .map(record -> new Observed(incarnationOf(record), record))
                .collect(ImmutableList.toImmutableList());
        Optional.ofNullable(reports.put(entryNode, new Report(nowNanos, observed)))
                .ifPresent(replaced -> addToTotals(replaced, -1));
        if (!entryNodes.contains(entryNode)) {
            entryNodes = ImmutableSet.copyOf(reports.keySet());
        }
        observed.forEach(seen -> {
            totals.computeIfAbsent(seen.vm().vm(), vm -> new Total()).add(seen.usage(), 1);
            if (seen.usage().isProgressed()) {
                lastProgressNanos.merge(
                        seen.vm(),
                        nowNanos - TimeUnit.MILLISECONDS.toNanos(seen.usage().getSinceProgressMs()),
                        Math::max);
            }
        });
    }

    /** Returns the number of entry nodes whose last report has not expired. */
    int countEntryNodes(long nowNanos) {
        removeExpired(nowNanos);
        return reports.size();
    }

    /** Returns the entry nodes whose last report has not expired; the same set until that changes. */
    ImmutableSet<NodeName> entryNodes(long nowNanos) {
        removeExpired(nowNanos);
        return entryNodes;
    }

    /** Writes the load of each endpoint, summed over all entry nodes except one. */
    void writeLoadOfOtherNodes(NodeName excludedNode, PullReply reply) {
        final Map<VmName, UsageRecord> own = new HashMap<>();
        Optional.ofNullable(reports.get(excludedNode))
                .ifPresent(report -> report.observed()
                        .forEach(seen -> own.merge(seen.vm().vm(), seen.usage(), EntryNodeReports::sumOfLoad)));
        final Map<String, Integer> inFlight = new HashMap<>();
        final Map<String, Integer> unreadTokens = new HashMap<>();
        totals.forEach((vm, total) -> {
            final Optional<UsageRecord> ownUsage = Optional.ofNullable(own.get(vm));
            putIfPositive(
                    inFlight,
                    vm,
                    total.inFlight - ownUsage.map(UsageRecord::getInFlight).orElse(0));
            putIfPositive(
                    unreadTokens,
                    vm,
                    total.unreadTokens
                            - ownUsage.map(UsageRecord::getUnreadTokens).orElse(0));
        });
        reply.setInFlightElsewhere(inFlight).setUnreadTokensElsewhere(unreadTokens);
    }

    /** Returns the merged evidence for each endpoint that an entry node reported. */
    Map<VmName, EndpointObservation> evidenceByVm(long nowNanos) {
        removeExpired(nowNanos);
        final Map<VmName, EndpointObservation> merged = new HashMap<>();
        for (final Report report : reports.values()) {
            final long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - report.receivedNanos());
            for (final Observed seen : report.observed()) {
                merged.merge(seen.vm().vm(), evidenceOf(seen, ageMs), EntryNodeReports::merge);
            }
        }
        return merged;
    }

    private void addToTotals(Report report, int sign) {
        report.observed().forEach(seen -> {
            final Total total = totals.get(seen.vm().vm());
            total.add(seen.usage(), sign);
            if (total.reports == 0) {
                totals.remove(seen.vm().vm());
            }
        });
    }

    /** Returns the sum of two records of one VM, of which one is of an earlier incarnation that still has requests. */
    private static UsageRecord sumOfLoad(UsageRecord first, UsageRecord second) {
        return new UsageRecord()
                .setVm(first.getVm())
                .setInFlight(first.getInFlight() + second.getInFlight())
                .setUnreadTokens(first.getUnreadTokens() + second.getUnreadTokens());
    }

    private static void putIfPositive(Map<String, Integer> amounts, VmName vm, int amount) {
        if (amount > 0) {
            amounts.put(vm.value(), amount);
        }
    }

    private EndpointObservation evidenceOf(Observed seen, long ageMs) {
        final UsageRecord usage = seen.usage();
        final long stalledMs = usage.getInFlight() == 0 ? Long.MAX_VALUE : usage.getSinceProgressMs() + ageMs;
        return new EndpointObservation(
                usage.getInFlight(),
                stalledMs,
                lastProgressNanos.getOrDefault(seen.vm(), Long.MIN_VALUE),
                usage.isRefusedConnection());
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
        final boolean anyExpired = reports.values().removeIf(report -> {
            final boolean expired = nowNanos - report.receivedNanos() > maxAgeNanos;
            if (expired) {
                addToTotals(report, -1);
            }
            return expired;
        });
        if (anyExpired) {
            entryNodes = ImmutableSet.copyOf(reports.keySet());
        }
        lastProgressNanos.values().removeIf(nanos -> nowNanos - nanos > maxAgeNanos);
    }

    private static VmIncarnation incarnationOf(UsageRecord record) {
        return new VmIncarnation(VmName.of(record.getVm()), record.getIncarnation());
    }
}
