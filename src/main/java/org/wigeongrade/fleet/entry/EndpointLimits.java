package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.balancing.SendRestriction;
import org.wigeongrade.decisions.balancing.StatedLimit;
import org.wigeongrade.fleet.thrift.EndpointLimitRecord;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * The limits that endpoints stated on the requests that they take from all entry nodes together, as this node heard them
 * itself or from the leader.
 *
 * <p>Invariants: of two statements of an endpoint, the later one counts; until the leader has divided a limit, this node
 * uses an equal share of it; what this node heard itself is reported to the leader with several pulls, and everything to
 * a new leader. Used on the event loop only.
 */
final class EndpointLimits {
    /** Time for which a statement is reported again, in case a pull fails. */
    private static final long REPORTED_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Endpoints whose limits are remembered; several times those of the largest fleet. */
    private static final int MAX_REMEMBERED = SendRestrictions.MAX_REMEMBERED;

    private final SendRestrictions restrictions;
    private final EventLog events;
    private final Map<VmIncarnation, SendRestriction> stated = new LinkedHashMap<>();
    private final Set<VmIncarnation> heardHere = new HashSet<>();
    private boolean reportsAll;

    EndpointLimits(SendRestrictions restrictions, EventLog events) {
        this.restrictions = restrictions;
        this.events = events;
    }

    /** Records the limit that a response of an endpoint stated, or that it stated none. */
    void recordStated(VmIncarnation vm, OptionalDouble requestsPerSecond, int entryNodes, long nowNanos) {
        if (requestsPerSecond.isEmpty() && !stated.containsKey(vm)) {
            return;
        }
        final SendRestriction restriction = restrictions.of(vm, nowNanos);
        final boolean changed = !restriction.requestsPerSecond().equals(requestsPerSecond);
        final double share =
                changed ? requestsPerSecond.orElse(0) / Math.max(1, entryNodes) : restriction.sharePerSecond();
        set(vm, restriction, new StatedLimit(requestsPerSecond, nowNanos), share, nowNanos);
        heardHere.add(vm);
    }

    /** Applies what the leader knows of limits, and how it divides them. */
    void apply(PullReply reply, long nowNanos) {
        reportsAll = reply.isComplete();
        for (final EndpointLimitRecord record :
                Optional.ofNullable(reply.getLimits()).orElse(ImmutableList.of())) {
            final VmIncarnation vm = new VmIncarnation(VmName.of(record.getVm()), record.getIncarnation());
            final OptionalDouble limit = record.isSetRequestsPerSecond()
                    ? OptionalDouble.of(record.getRequestsPerSecond())
                    : OptionalDouble.empty();
            final SendRestriction restriction = restrictions.of(vm, nowNanos);
            final long statedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(record.getSinceStatedMs());
            // An unchanged limit may have been stated here again since; its division by the leader still counts.
            final boolean unchanged = restriction.requestsPerSecond().equals(limit);
            final StatedLimit known = new StatedLimit(
                    limit,
                    unchanged
                            ? restriction.limit().map(StatedLimit::statedNanos).orElse(statedNanos)
                            : statedNanos);
            set(vm, restriction, known, record.getShare(), nowNanos);
        }
    }

    /** Returns what the next pull reports. */
    ImmutableList<EndpointLimitRecord> drainReports(long nowNanos) {
        heardHere.removeIf(vm -> Optional.ofNullable(stated.get(vm))
                .flatMap(SendRestriction::limit)
                .filter(limit -> nowNanos - limit.statedNanos() <= REPORTED_NANOS)
                .isEmpty());
        final Set<VmIncarnation> reported = reportsAll ? stated.keySet() : heardHere;
        return reported.stream()
                .flatMap(vm -> stated.get(vm).limit().map(limit -> encode(vm, limit, nowNanos)).stream())
                .collect(ImmutableList.toImmutableList());
    }

    private void set(VmIncarnation vm, SendRestriction restriction, StatedLimit limit, double share, long nowNanos) {
        final OptionalDouble before = restriction.requestsPerSecond();
        restriction.limitTo(limit, share, nowNanos);
        stated.put(vm, restriction);
        if (stated.size() > MAX_REMEMBERED) {
            final var oldest = stated.keySet().iterator();
            heardHere.remove(oldest.next());
            oldest.remove();
        }
        if (!restriction.requestsPerSecond().equals(before)) {
            restriction
                    .requestsPerSecond()
                    .ifPresentOrElse(
                            perSecond -> events.write(
                                    LogEvent.ENDPOINT_LIMITED, vm, perSecond, restriction.sharePerSecond()),
                            () -> events.write(LogEvent.ENDPOINT_UNLIMITED, vm));
        }
    }

    private static EndpointLimitRecord encode(VmIncarnation vm, StatedLimit limit, long nowNanos) {
        final EndpointLimitRecord record = new EndpointLimitRecord()
                .setVm(vm.vm().value())
                .setIncarnation(vm.incarnation())
                .setSinceStatedMs(TimeUnit.NANOSECONDS.toMillis(nowNanos - limit.statedNanos()));
        limit.requestsPerSecond().ifPresent(record::setRequestsPerSecond);
        return record;
    }
}
