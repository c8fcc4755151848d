package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableMap;
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
 * The endpoints that requests may be sent to, with a number for each change, so that entry nodes get changes only.
 *
 * <p>Invariant: the change number grows with each change; a removed endpoint is remembered. Not thread safe; {@link
 * LeaderTerm} guards it.
 */
final class RoutableTable {
    /** A cold start that ends this much earlier or later than known is no change. */
    private static final long COLD_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** One routable endpoint and the model that it serves, if it heads a group. */
    record Routable(VmRecord vm, Optional<ModelVersionName> model, double paceFactor, boolean suspect) {}

    private record Entry(Optional<Routable> routable, long changeNumber) {}

    private final Map<VmName, Entry> entries = new HashMap<>();
    private long changeNumber;

    /** Replaces the endpoints; returns how many changed. */
    int replace(Map<VmName, Routable> routables) {
        final long before = changeNumber;
        routables.forEach((vm, routable) -> {
            final Optional<Routable> known =
                    Optional.ofNullable(entries.get(vm)).flatMap(Entry::routable);
            if (known.filter(old -> isSame(old, routable)).isEmpty()) {
                entries.put(vm, new Entry(Optional.of(routable), ++changeNumber));
            }
        });
        for (final Map.Entry<VmName, Entry> entry : ImmutableMap.copyOf(entries).entrySet()) {
            if (entry.getValue().routable().isPresent() && !routables.containsKey(entry.getKey())) {
                entries.put(entry.getKey(), new Entry(Optional.empty(), ++changeNumber));
            }
        }
        return (int) (changeNumber - before);
    }

    /** Writes what changed since a number, or everything if {@code complete}. */
    void write(PullReply reply, long sinceNumber, boolean complete, long nowNanos) {
        reply.setComplete(complete).setChangeNumber(changeNumber);
        entries.forEach((vm, entry) -> {
            if (!complete && entry.changeNumber() <= sinceNumber) {
                return;
            }
            if (entry.routable().isPresent()) {
                reply.addToChanged(encode(entry.routable().get(), nowNanos));
            } else {
                reply.addToRemoved(vm.value());
            }
        });
    }

    private static boolean isSame(Routable old, Routable now) {
        final long coldChangeNanos =
                Math.abs(old.vm().coldUntilNanos() - now.vm().coldUntilNanos());
        final boolean bothWarm =
                old.vm().heartbeat().coldForMs() == 0 && now.vm().heartbeat().coldForMs() == 0;
        return old.vm().vm().equals(now.vm().vm())
                && old.model().equals(now.model())
                && old.suspect() == now.suspect()
                && old.vm().heartbeat().address().equals(now.vm().heartbeat().address())
                && old.vm().heartbeat().service().equals(now.vm().heartbeat().service())
                && (bothWarm || coldChangeNanos <= COLD_TOLERANCE_NANOS);
    }

    private static RoutableRecord encode(Routable routable, long nowNanos) {
        final VmRecord vm = routable.vm();
        return new RoutableRecord()
                .setVm(vm.vm().vm().value())
                .setIncarnation(vm.vm().incarnation())
                .setServiceName(vm.heartbeat().service().value())
                .setAddress(vm.heartbeat().address())
                .setAvailabilityZone(vm.heartbeat().zone().value())
                .setModel(routable.model().map(ModelVersionName::value).orElse(""))
                .setSlots(vm.heartbeat().slots())
                .setPaceFactor(routable.paceFactor())
                .setSuspect(routable.suspect())
                .setColdForMs(Math.max(0, TimeUnit.NANOSECONDS.toMillis(vm.coldUntilNanos() - nowNanos)));
    }
}
