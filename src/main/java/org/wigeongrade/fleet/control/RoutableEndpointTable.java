package org.wigeongrade.fleet.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmName;

/**
 * The endpoints that requests may be sent to. Each change has a number, so that entry nodes need only the changes since
 * their last pull.
 *
 * <p>Invariant: the change number grows with each change. A removed endpoint keeps an entry for a while, so that its
 * removal is sent as a change; an entry node that may have missed a removal that was dropped gets all entries. Not thread
 * safe; {@link LeaderTerm} guards it.
 */
final class RoutableEndpointTable {
    /** Largest change of the expected end of a cold start at which an endpoint still counts as unchanged. */
    private static final long COLD_START_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** A routable endpoint and the model that it serves; only the head of a group has a model. */
    record RoutableEndpoint(VmRecord vm, Optional<ModelVersionName> model, double paceFactor, boolean suspect) {}

    /** Time for which a removal is kept; several times the longest time between two pulls of a working entry node. */
    private static final long KEEP_REMOVAL_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** @param changedNanos time of the change */
    private record Entry(Optional<RoutableEndpoint> endpoint, long changeNumber, long changedNanos) {}

    private final Map<VmName, Entry> entries = new HashMap<>();
    private long changeNumber;
    private long lastDroppedNumber;

    /** Replaces the endpoints and returns the number of changes. */
    int replace(Map<VmName, RoutableEndpoint> endpoints, long nowNanos) {
        final long changeNumberBefore = changeNumber;
        endpoints.forEach((vm, endpoint) -> {
            final Optional<RoutableEndpoint> previous =
                    Optional.ofNullable(entries.get(vm)).flatMap(Entry::endpoint);
            if (previous.filter(old -> isUnchanged(old, endpoint)).isEmpty()) {
                entries.put(vm, new Entry(Optional.of(endpoint), ++changeNumber, nowNanos));
            }
        });
        entries.replaceAll((vm, entry) -> entry.endpoint().isPresent() && !endpoints.containsKey(vm)
                ? new Entry(Optional.empty(), ++changeNumber, nowNanos)
                : entry);
        dropOldRemovals(nowNanos);
        return (int) (changeNumber - changeNumberBefore);
    }

    private void dropOldRemovals(long nowNanos) {
        entries.values().removeIf(entry -> {
            final boolean old = entry.endpoint().isEmpty() && nowNanos - entry.changedNanos() > KEEP_REMOVAL_NANOS;
            if (old) {
                lastDroppedNumber = Math.max(lastDroppedNumber, entry.changeNumber());
            }
            return old;
        });
    }

    /** Writes the changes after {@code sinceNumber}, or all entries if {@code completeWanted} or one was dropped. */
    void writeChanges(PullReply reply, long sinceNumber, boolean completeWanted, long nowNanos) {
        final boolean complete = completeWanted || sinceNumber < lastDroppedNumber;
        reply.setComplete(complete).setChangeNumber(changeNumber);
        entries.forEach((vm, entry) -> {
            if (!complete && entry.changeNumber() <= sinceNumber) {
                return;
            }
            if (entry.endpoint().isPresent()) {
                reply.addToChanged(encode(entry.endpoint().get(), nowNanos));
            } else {
                reply.addToRemoved(vm.value());
            }
        });
    }

    private static boolean isUnchanged(RoutableEndpoint old, RoutableEndpoint updated) {
        final long coldChangeNanos =
                Math.abs(old.vm().coldUntilNanos() - updated.vm().coldUntilNanos());
        final boolean bothWarm = old.vm().heartbeat().coldForMs() == 0
                && updated.vm().heartbeat().coldForMs() == 0;
        return old.vm().vm().equals(updated.vm().vm())
                && old.model().equals(updated.model())
                && old.suspect() == updated.suspect()
                && old.vm()
                        .heartbeat()
                        .address()
                        .equals(updated.vm().heartbeat().address())
                && old.vm()
                        .heartbeat()
                        .service()
                        .equals(updated.vm().heartbeat().service())
                && (bothWarm || coldChangeNanos <= COLD_START_TOLERANCE_NANOS);
    }

    private static RoutableRecord encode(RoutableEndpoint endpoint, long nowNanos) {
        final VmRecord vm = endpoint.vm();
        return new RoutableRecord()
                .setVm(vm.vm().vm().value())
                .setIncarnation(vm.vm().incarnation())
                .setServiceName(vm.heartbeat().service().value())
                .setAddress(vm.heartbeat().address())
                .setAvailabilityZone(vm.heartbeat().zone().value())
                .setModel(endpoint.model().map(ModelVersionName::value).orElse(""))
                .setSlots(vm.heartbeat().slots())
                .setPaceFactor(endpoint.paceFactor())
                .setSuspect(endpoint.suspect())
                .setColdForMs(Math.max(0, TimeUnit.NANOSECONDS.toMillis(vm.coldUntilNanos() - nowNanos)));
    }
}
