package org.wigeongrade.decisions.grouping;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.VmName;

/**
 * Knows from when on a VM that reports no group may be used.
 *
 * <p>A VM that reports no group, or a spare that this leader does not keep, may have left one, or have been restarted,
 * shortly before this leader's term. The head of that group then serves or stalls for up to the engines' stall time, and
 * may be unreachable for this leader.
 * Invariant: a VM without a group is usable only if this leader saw its group end, or if no group that this leader does
 * not manage can have lost the VM within that time. Not thread safe.
 */
final class ReleaseTimes {
    private final long headBrokenAfterNanos;
    private final long startedNanos;
    private final Map<VmName, Long> releaseNanos = new HashMap<>();
    /** For each VM, the groups that it reported and that this leader did not manage then, with the end of the wait. */
    private final Map<VmName, Map<Key, Long>> groupReleaseNanos = new HashMap<>();
    /** VMs that this node knew before the term; their delayed heartbeats do not replace later ones. */
    private final Set<VmName> knownBefore = new HashSet<>();

    private final Set<VmName> groupEnded = new HashSet<>();
    private final Set<VmName> justStarted = new HashSet<>();

    private record Key(GroupName group, long epoch) {}

    /** @param startedNanos start of this leader's term */
    ReleaseTimes(long startedNanos, long headBrokenAfterNanos) {
        this.headBrokenAfterNanos = headBrokenAfterNanos;
        this.startedNanos = startedNanos;
    }

    /** Records that the VM reports a group that this leader does not manage. */
    void recordInUnadoptedGroup(VmName vm, GroupName group, long epoch, long nowNanos) {
        groupReleaseNanos
                .computeIfAbsent(vm, unused -> new HashMap<>())
                .put(new Key(group, epoch), nowNanos + headBrokenAfterNanos);
    }

    /** Records a VM whose latest heartbeat this node received before the term. */
    void recordKnownBefore(VmName vm) {
        knownBefore.add(vm);
    }

    /**
     * Records a VM that has sent a heartbeat in this term. One that is new while VMs look for the leader, or that reports
     * a spare, may have been in a group until then; any other one that is new later has just started.
     */
    void recordHeard(VmRecord vm, long nowNanos) {
        final boolean lookedForLeader = nowNanos - startedNanos <= GroupTimings.LEADER_SEARCH_NANOS;
        final boolean justStarted = !lookedForLeader && vm.heartbeat().group().isEmpty();
        final Long known =
                releaseNanos.putIfAbsent(vm.vm().vm(), justStarted ? nowNanos : nowNanos + headBrokenAfterNanos);
        if (justStarted && known == null) {
            this.justStarted.add(vm.vm().vm());
        }
    }

    /** Records that a managed group of the VM has ended, so that its head cannot serve. */
    void recordGroupEnded(VmName vm, GroupName group, long epoch, long nowNanos) {
        releaseNanos.put(vm, nowNanos);
        groupEnded.add(vm);
        groupReleaseNanos.getOrDefault(vm, new HashMap<>()).remove(new Key(group, epoch));
    }

    /**
     * Returns why no head can wait for this VM, or that the VM reports a group, which is then checked by itself; empty if
     * a head may wait for it.
     */
    Optional<VmFreedom> freedomOf(VmRecord vm, long nowNanos) {
        final VmName name = vm.vm().vm();
        final Optional<GroupReport> report = vm.heartbeat().group();
        if (report.isPresent() && !mayHaveLeftSpare(name, report.get())) {
            return Optional.of(VmFreedom.KEPT_SPARE);
        }
        if (report.isEmpty() && hasNeverJoined(vm)) {
            return Optional.of(VmFreedom.NEVER_JOINED);
        }
        return hasPassed(name, nowNanos) ? Optional.of(reasonOfRelease(name)) : Optional.empty();
    }

    private VmFreedom reasonOfRelease(VmName vm) {
        if (groupEnded.contains(vm)) {
            return VmFreedom.GROUP_ENDED;
        }
        return justStarted.contains(vm) ? VmFreedom.JUST_STARTED : VmFreedom.STALL_TIME_PASSED;
    }

    private static boolean isSpare(GroupReport report) {
        return report.group().value().startsWith(InheritedGroups.SPARE_PREFIX);
    }

    private boolean mayHaveLeftSpare(VmName vm, GroupReport report) {
        return isSpare(report) && !knownBefore.contains(vm);
    }

    private boolean hasPassed(VmName vm, long nowNanos) {
        final long releasedNanos = releaseNanos.getOrDefault(vm, nowNanos + headBrokenAfterNanos);
        return nowNanos - releasedNanos >= 0
                && groupReleaseNanos.getOrDefault(vm, Map.of()).values().stream()
                        .allMatch(untilNanos -> nowNanos - untilNanos >= 0);
    }

    /** Joining stages the model, and a host keeps its staged models when the process is restarted. */
    private static boolean hasNeverJoined(VmRecord vm) {
        return vm.heartbeat().stagedModels().isEmpty()
                && vm.heartbeat().loadedModel().isEmpty();
    }
}
