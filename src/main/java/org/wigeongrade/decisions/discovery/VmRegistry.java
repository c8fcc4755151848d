package org.wigeongrade.decisions.discovery;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * The endpoint VMs that were heard of.
 *
 * <p>Invariants: an incarnation or sequence that was overtaken never comes back; of two incarnations at one address only
 * the younger one has not ended. Time is a parameter. Thread safe; its lock is taken last.
 */
public final class VmRegistry {
    /** How long an ended incarnation is remembered; late heartbeats arrive within seconds. */
    private static final long TOMBSTONE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<VmName, VmRecord> byName = new HashMap<>();
    private final Map<String, VmName> byAddress = new HashMap<>();

    /**
     * Takes a heartbeat.
     *
     * @param heardNanos when a control VM received it, on this node's monotonic clock
     * @return whether it was newer than what was known
     */
    public synchronized boolean hear(VmHeartbeat heartbeat, long heardNanos) {
        final VmRecord known = byName.get(heartbeat.vm().vm());
        if (known != null && !isNewer(heartbeat, known)) {
            return false;
        }
        if (isOvertakenAtAddress(heartbeat)) {
            return false;
        }
        endOlderAtAddress(heartbeat);
        final long coldUntilNanos = heardNanos + TimeUnit.MILLISECONDS.toNanos(heartbeat.coldForMs());
        byName.put(heartbeat.vm().vm(), new VmRecord(heartbeat, heardNanos, coldUntilNanos, false, false));
        byAddress.put(heartbeat.address(), heartbeat.vm().vm());
        return true;
    }

    /** Takes the news that a VM leaves for good; it may still finish its work. Returns its record if it is known. */
    public synchronized Optional<VmRecord> depart(VmName vm) {
        return Optional.ofNullable(byName.computeIfPresent(vm, (name, known) -> known.asDeparted()));
    }

    /** Takes the news that an incarnation has ended. */
    public synchronized void end(VmIncarnation vm) {
        byName.computeIfPresent(vm.vm(), (name, known) -> known.vm().equals(vm) ? known.asEnded() : known);
    }

    /** Returns the latest record of a VM. */
    public synchronized Optional<VmRecord> find(VmName vm) {
        return Optional.ofNullable(byName.get(vm));
    }

    /** Returns the latest record of each VM; forgets those that ended or fell silent long ago. */
    public synchronized ImmutableList<VmRecord> records(long nowNanos) {
        byName.values().removeIf(known -> known.silentNanos(nowNanos) > TOMBSTONE_NANOS);
        byAddress.values().removeIf(name -> !byName.containsKey(name));
        return ImmutableList.copyOf(byName.values());
    }

    private static boolean isNewer(VmHeartbeat heartbeat, VmRecord known) {
        final long incarnation = heartbeat.vm().incarnation();
        final long knownIncarnation = known.vm().incarnation();
        if (incarnation != knownIncarnation) {
            return incarnation > knownIncarnation;
        }
        return heartbeat.sequence() > known.heartbeat().sequence() && !known.departed() && !known.ended();
    }

    private boolean isOvertakenAtAddress(VmHeartbeat heartbeat) {
        return atAddress(heartbeat)
                .filter(other -> other.vm().incarnation() > heartbeat.vm().incarnation())
                .isPresent();
    }

    private void endOlderAtAddress(VmHeartbeat heartbeat) {
        atAddress(heartbeat).ifPresent(other -> byName.put(other.vm().vm(), other.asEnded()));
    }

    private Optional<VmRecord> atAddress(VmHeartbeat heartbeat) {
        return Optional.ofNullable(byAddress.get(heartbeat.address()))
                .filter(name -> !name.equals(heartbeat.vm().vm()))
                .map(byName::get)
                .filter(other -> other.heartbeat().address().equals(heartbeat.address()));
    }
}
