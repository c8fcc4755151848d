package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.balancing.RateLimitShare;
import org.wigeongrade.decisions.balancing.StatedLimit;
import org.wigeongrade.fleet.thrift.EndpointLimitRecord;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * The limits that endpoints stated on the requests that they take, gathered from all entry nodes and divided among them.
 *
 * <p>Invariants: of two statements of an endpoint, the later one counts; the shares of all nodes in a limit add up to
 * it. The nodes that share a limit are chosen again only if the limit or the entry nodes change, so that a pull costs
 * time in proportion to the limits. Not thread safe; {@link LeaderTerm} guards it.
 */
final class EndpointLimitTable {
    /** Time for which a change is sent with each pull; a node that pulls later hears the limit from the endpoint. */
    private static final long SENT_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Endpoints whose limits are remembered; several times those of the largest fleet. */
    private static final int MAX_REMEMBERED = 8_192;

    private record Entry(StatedLimit limit, ImmutableSet<NodeName> senders, long changedNanos) {}

    private final Map<VmIncarnation, Entry> entries = new LinkedHashMap<>();
    private ImmutableSet<NodeName> entryNodes = ImmutableSet.of();

    /** Records what an entry node reported. */
    void record(List<EndpointLimitRecord> reported, long nowNanos) {
        Optional.ofNullable(reported).orElse(List.of()).forEach(record -> {
            final VmIncarnation vm = new VmIncarnation(VmName.of(record.getVm()), record.getIncarnation());
            final OptionalDouble perSecond = record.isSetRequestsPerSecond()
                    ? OptionalDouble.of(record.getRequestsPerSecond())
                    : OptionalDouble.empty();
            record(
                    vm,
                    new StatedLimit(perSecond, nowNanos - TimeUnit.MILLISECONDS.toNanos(record.getSinceStatedMs())),
                    nowNanos);
        });
        while (entries.size() > MAX_REMEMBERED) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    private void record(VmIncarnation vm, StatedLimit stated, long nowNanos) {
        final Entry known = entries.get(vm);
        if (known == null || !known.limit().requestsPerSecond().equals(stated.requestsPerSecond())) {
            if (known == null || stated.isNewerThan(known.limit())) {
                entries.put(vm, new Entry(stated, sendersOf(vm, stated), nowNanos));
            }
        } else if (stated.isNewerThan(known.limit())) {
            entries.put(vm, new Entry(stated, known.senders(), known.changedNanos()));
        }
    }

    /** Writes the limits that changed lately, or all if {@code complete}, with the share of one entry node. */
    void write(NodeName node, ImmutableSet<NodeName> currentNodes, boolean complete, PullReply reply, long nowNanos) {
        if (!currentNodes.equals(entryNodes)) {
            entryNodes = currentNodes;
            entries.replaceAll((vm, entry) -> new Entry(entry.limit(), sendersOf(vm, entry.limit()), nowNanos));
        }
        entries.forEach((vm, entry) -> {
            if (complete || nowNanos - entry.changedNanos() <= SENT_NANOS) {
                reply.addToLimits(encode(vm, entry, node, nowNanos));
            }
        });
        entries.values()
                .removeIf(entry ->
                        entry.limit().requestsPerSecond().isEmpty() && nowNanos - entry.changedNanos() > SENT_NANOS);
    }

    private ImmutableSet<NodeName> sendersOf(VmIncarnation vm, StatedLimit limit) {
        return limit.requestsPerSecond().isPresent()
                ? RateLimitShare.senders(vm, limit.requestsPerSecond().getAsDouble(), entryNodes)
                : ImmutableSet.of();
    }

    private static EndpointLimitRecord encode(VmIncarnation vm, Entry entry, NodeName node, long nowNanos) {
        final EndpointLimitRecord record = new EndpointLimitRecord()
                .setVm(vm.vm().value())
                .setIncarnation(vm.incarnation())
                .setSinceStatedMs(
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.limit().statedNanos()));
        entry.limit()
                .requestsPerSecond()
                .ifPresent(perSecond -> record.setRequestsPerSecond(perSecond)
                        .setShare(
                                entry.senders().contains(node)
                                        ? perSecond / entry.senders().size()
                                        : 0));
        return record;
    }
}
