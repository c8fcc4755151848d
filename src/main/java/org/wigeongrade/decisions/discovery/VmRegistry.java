package org.wigeongrade.decisions.discovery;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * Keeps the latest heartbeat of each endpoint VM.
 *
 * <p>Invariants: an older sequence of an incarnation never replaces a newer one. A heartbeat never changes what is known of
 * another VM or of another incarnation of its VM: one that contradicts them is kept apart until {@link #settle} is told what
 * the processes at the addresses responded, or the others have fallen silent. The number of heartbeats that are kept
 * apart is limited. Time is a parameter. Thread safe; no other lock is acquired while its lock is held.
 */
public final class VmRegistry {
    /** Time for which an ended incarnation is remembered; late heartbeats arrive within seconds. */
    private static final long TOMBSTONE_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Heartbeats that are kept apart; more than the VMs that restart at once in the largest fleet. */
    static final int MAX_CONTESTED = 1_024;
    /** Time without a heartbeat after which a VM whose heartbeats are kept apart is forgotten. */
    private static final long CONTESTED_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Pause before the addresses are asked again after no response, which covers a lost packet. */
    private static final long ASK_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Pause before the addresses are asked again after a response that refuted the heartbeat. */
    private static final long REFUTED_NANOS = TimeUnit.SECONDS.toNanos(5);

    private record Contested(VmHeartbeat heartbeat, long receivedNanos, long askAtNanos, ConflictVerdict verdict) {
        Contested asked(long nextNanos, ConflictVerdict newVerdict) {
            return new Contested(heartbeat, receivedNanos, nextNanos, newVerdict);
        }
    }

    private final Predicate<ServiceName> isConfigured;
    private final Map<VmName, VmRecord> byName = new HashMap<>();
    private final Map<String, VmName> byAddress = new HashMap<>();
    /** In the order in which they were first kept apart. */
    private final Map<ProcessKey, Contested> contested = new LinkedHashMap<>();

    /** Creates a registry that takes heartbeats for any service. */
    public VmRegistry() {
        this(service -> true);
    }

    /** @param isConfigured whether heartbeats for a service are recorded, and contradict others */
    public VmRegistry(Predicate<ServiceName> isConfigured) {
        this.isConfigured = isConfigured;
    }

    /**
     * Records a heartbeat unless a newer one is known or it contradicts a known VM.
     *
     * @param receivedNanos time at which a control VM received the heartbeat, on this node's monotonic clock
     */
    public synchronized HeartbeatOutcome recordHeartbeat(VmHeartbeat heartbeat, long receivedNanos) {
        if (!isConfigured.test(heartbeat.service()) || isOutdated(heartbeat)) {
            return HeartbeatOutcome.IGNORED;
        }
        if (rivalsOf(heartbeat).isEmpty()) {
            accept(heartbeat, receivedNanos, false);
            return HeartbeatOutcome.RECORDED;
        }
        keepApart(heartbeat, receivedNanos);
        return HeartbeatOutcome.CONTESTED;
    }

    private void keepApart(VmHeartbeat heartbeat, long receivedNanos) {
        final Contested earlier = contested.get(ProcessKey.of(heartbeat));
        if (earlier != null && heartbeat.sequence() <= earlier.heartbeat().sequence()) {
            return;
        }
        contested.put(
                ProcessKey.of(heartbeat),
                earlier == null
                        ? new Contested(heartbeat, receivedNanos, receivedNanos, ConflictVerdict.UNDECIDED)
                        : new Contested(heartbeat, receivedNanos, earlier.askAtNanos(), earlier.verdict()));
        if (contested.size() > MAX_CONTESTED) {
            final Iterator<ProcessKey> oldest = contested.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Returns the VMs that the heartbeat contradicts, if it is right: another process of its name, unless an earlier one
     * that has ended, and another VM at its address. Each address has one process, and so has each name.
     */
    public synchronized ImmutableList<VmRecord> rivalsOf(VmHeartbeat heartbeat) {
        return Stream.concat(
                        Optional.ofNullable(byName.get(heartbeat.vm().vm()))
                                .filter(known -> !isSameProcess(known, heartbeat))
                                .filter(known -> !known.ended()
                                        || known.vm().incarnation()
                                                > heartbeat.vm().incarnation())
                                .stream(),
                        atAddress(heartbeat).filter(other -> !other.ended()).stream())
                .filter(known -> isConfigured.test(known.heartbeat().service()))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns conflicts to ask about now, at most {@code max}; each of them is returned again after a pause, until it is
     * settled.
     */
    public synchronized ImmutableList<IdentityConflict> takeDueConflicts(int max, long nowNanos) {
        contested.values().removeIf(kept -> nowNanos - kept.receivedNanos() > CONTESTED_NANOS);
        final ImmutableList<Contested> due = contested.values().stream()
                .filter(kept -> nowNanos - kept.askAtNanos() >= 0)
                .limit(max)
                .collect(ImmutableList.toImmutableList());
        final ImmutableList.Builder<IdentityConflict> conflicts = ImmutableList.builder();
        for (final Contested kept : due) {
            final ImmutableList<VmRecord> rivals = rivalsOf(kept.heartbeat());
            if (rivals.isEmpty()) {
                acceptContested(kept, false);
            } else {
                contested.put(ProcessKey.of(kept.heartbeat()), kept.asked(nowNanos + ASK_AGAIN_NANOS, kept.verdict()));
                conflicts.add(new IdentityConflict(kept.heartbeat(), rivals));
            }
        }
        return conflicts.build();
    }

    /**
     * Records what is known of a heartbeat that was kept apart. Without a decision, it is recorded once every VM that it
     * contradicts has been silent for {@code silentNanos}; they do not count as ended then.
     *
     * @return whether its VM is known now
     */
    public synchronized boolean settle(
            IdentityConflict conflict, ConflictVerdict verdict, long silentNanos, long nowNanos) {
        final Contested kept = contested.get(ProcessKey.of(conflict.heartbeat()));
        if (kept == null) {
            return false;
        }
        final ImmutableList<VmRecord> rivals = rivalsOf(kept.heartbeat());
        final boolean silent = rivals.stream().allMatch(rival -> rival.sinceHeartbeatNanos(nowNanos) > silentNanos);
        final long incarnation = kept.heartbeat().vm().incarnation();
        final boolean latest = rivals.stream().allMatch(rival -> rival.vm().incarnation() < incarnation);
        final boolean earliest = rivals.stream().allMatch(rival -> rival.vm().incarnation() > incarnation);
        if (verdict.isAtAddress()) {
            atAddress(kept.heartbeat()).ifPresent(other -> byName.put(other.vm().vm(), other.asEnded()));
        }
        if (verdict.accepts(silent, latest, earliest)) {
            acceptContested(kept, verdict.confirmsStart());
            return true;
        }
        final long pauseNanos = verdict == ConflictVerdict.REFUTED ? REFUTED_NANOS : ASK_AGAIN_NANOS;
        contested.put(ProcessKey.of(kept.heartbeat()), kept.asked(nowNanos + pauseNanos, verdict));
        return false;
    }

    /** Returns what was last decided about a heartbeat of its process; empty if none is kept apart. */
    public synchronized Optional<ConflictVerdict> verdictOn(VmHeartbeat heartbeat) {
        return Optional.ofNullable(contested.get(ProcessKey.of(heartbeat))).map(Contested::verdict);
    }

    /**
     * Records that an incarnation, if no newer one is known, leaves permanently, though it may still finish its requests.
     */
    public synchronized void markDeparted(VmIncarnation vm) {
        byName.computeIfPresent(
                vm.vm(), (name, known) -> known.vm().incarnation() <= vm.incarnation() ? known.asDeparted() : known);
    }

    /**
     * Records that an incarnation stated in a response that it leaves; returns whether this was not known. Later
     * heartbeats of the incarnation do not revoke it.
     */
    public synchronized boolean markLeaving(VmIncarnation vm) {
        final VmRecord known = byName.get(vm.vm());
        if (known == null || !known.vm().equals(vm) || !known.isStaying()) {
            return false;
        }
        byName.put(vm.vm(), known.asLeaving());
        return true;
    }

    /** Records that an incarnation has ended. */
    public synchronized void markEnded(VmIncarnation vm) {
        byName.computeIfPresent(vm.vm(), (name, known) -> known.vm().equals(vm) ? known.asEnded() : known);
    }

    /** Returns whether the heartbeat is of the process that is known under its name, whatever its sequence. */
    public synchronized boolean isOfKnownProcess(VmHeartbeat heartbeat) {
        return Optional.ofNullable(byName.get(heartbeat.vm().vm()))
                .filter(known -> isSameProcess(known, heartbeat))
                .isPresent();
    }

    /** Returns the latest record of a VM. */
    public synchronized Optional<VmRecord> find(VmName vm) {
        return Optional.ofNullable(byName.get(vm));
    }

    /** Returns what other nodes have to know of a VM: its latest record, and the heartbeats that contradict it. */
    public synchronized ImmutableList<VmRecord> reportsOf(VmName vm) {
        return Stream.concat(
                        Optional.ofNullable(byName.get(vm)).stream(),
                        contested.values().stream()
                                .filter(kept -> kept.heartbeat().vm().vm().equals(vm))
                                .map(kept -> recordOf(kept.heartbeat(), kept.receivedNanos(), false, false)))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the latest record of each VM, and removes those of VMs whose latest heartbeat is too old. */
    public synchronized ImmutableList<VmRecord> records(long nowNanos) {
        byName.values().removeIf(known -> known.sinceHeartbeatNanos(nowNanos) > TOMBSTONE_NANOS);
        byAddress.values().removeIf(name -> !byName.containsKey(name));
        return ImmutableList.copyOf(byName.values());
    }

    /** Returns whether the heartbeat is known already, or of a process that is known to have ended. */
    private boolean isOutdated(VmHeartbeat heartbeat) {
        final VmRecord known = byName.get(heartbeat.vm().vm());
        if (known == null) {
            return false;
        }
        final long incarnation = heartbeat.vm().incarnation();
        final long knownIncarnation = known.vm().incarnation();
        if (incarnation != knownIncarnation) {
            return incarnation < knownIncarnation && known.confirmed();
        }
        return known.departed()
                || known.ended()
                || (isSameProcess(known, heartbeat)
                        && heartbeat.sequence() <= known.heartbeat().sequence());
    }

    private static boolean isSameProcess(VmRecord known, VmHeartbeat heartbeat) {
        return ProcessKey.of(known.heartbeat()).equals(ProcessKey.of(heartbeat));
    }

    private void acceptContested(Contested kept, boolean confirmed) {
        accept(kept.heartbeat(), kept.receivedNanos(), confirmed);
    }

    private void accept(VmHeartbeat heartbeat, long receivedNanos, boolean confirmed) {
        contested.remove(ProcessKey.of(heartbeat));
        final VmName name = heartbeat.vm().vm();
        final Optional<VmRecord> same =
                Optional.ofNullable(byName.get(name)).filter(known -> known.vm().equals(heartbeat.vm()));
        byName.put(
                name,
                recordOf(
                        heartbeat,
                        receivedNanos,
                        same.filter(VmRecord::leaving).isPresent(),
                        confirmed || same.filter(VmRecord::confirmed).isPresent()));
        byAddress.put(heartbeat.address(), name);
    }

    private static VmRecord recordOf(VmHeartbeat heartbeat, long receivedNanos, boolean leaving, boolean confirmed) {
        final long coldUntilNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(heartbeat.coldForMs());
        return new VmRecord(heartbeat, receivedNanos, coldUntilNanos, false, false, leaving, confirmed);
    }

    private Optional<VmRecord> atAddress(VmHeartbeat heartbeat) {
        return Optional.ofNullable(byAddress.get(heartbeat.address()))
                .filter(name -> !name.equals(heartbeat.vm().vm()))
                .map(byName::get)
                .filter(other -> other.heartbeat().address().equals(heartbeat.address()));
    }
}
