package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.decisions.published.RecordedGroup;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmName;

/**
 * Adopts the groups that an earlier leader formed, as the VMs report them in their heartbeats and as the log holds them.
 *
 * <p>Invariants: a VM that reports a group of an earlier leader is free only after that group has been adopted and has
 * ended. An order of the earlier leader may still be carried out, so a group that is incomplete or not open is
 * treated as one that may still open until its head has left it. Not thread safe.
 */
final class InheritedGroups {
    /** Name prefix of groups that serve. */
    static final String GROUP_PREFIX = "g";
    /** Name prefix of warm spares: groups of one VM that are never opened. */
    static final String SPARE_PREFIX = "s";

    /** States of a head that has served. */
    private static final ImmutableSet<GroupState> OPENED_STATES =
            Sets.immutableEnumSet(GroupState.OPEN, GroupState.CLOSING, GroupState.BROKEN);

    private record Key(GroupName group, long epoch) {}

    private final Set<Key> owned = new HashSet<>();
    private final Map<Key, Long> endedNanos = new HashMap<>();
    private final Map<Key, Long> firstSeenNanos = new HashMap<>();
    /** Ended groups whose heads report that they serve, because a delayed order was carried out. */
    private Set<Key> reopened = Set.of();

    private final long startedNanos;

    /** @param startedNanos start of this leader's term */
    InheritedGroups(long startedNanos) {
        this.startedNanos = startedNanos;
    }

    /** Records that this leader formed or adopted a group. */
    void recordOwned(GroupName group, long epoch) {
        owned.add(new Key(group, epoch));
    }

    /** Records that a group has ended. */
    void recordEnded(GroupName group, long epoch, long nowNanos) {
        endedNanos.put(new Key(group, epoch), nowNanos);
    }

    /**
     * Returns whether the VM reports a group that has not been adopted: one of an earlier leader, or an ended one
     * whose head serves again.
     */
    boolean isInUnadoptedGroup(VmRecord vm) {
        return keyOf(vm)
                .filter(key -> !owned.contains(key) || reopened.contains(key))
                .isPresent();
    }

    private boolean hasReopened(Key key, VmRecord vm) {
        final GroupState state = report(vm).state();
        return endedNanos.containsKey(key)
                && vm.receivedNanos() - endedNanos.get(key) > 0
                && (state == GroupState.OPEN || state == GroupState.CLOSING);
    }

    /**
     * Returns the number of groups of the model that VMs with recent heartbeats report and that have not been adopted
     * yet.
     */
    int countPending(ModelVersionName model, List<VmRecord> vms, long maxSilenceNanos, long nowNanos) {
        return (int) vms.stream()
                .filter(vm -> vm.sinceHeartbeatNanos(nowNanos) <= maxSilenceNanos)
                .filter(vm -> isInUnadoptedGroup(vm)
                        && vm.heartbeat().loadedModel().filter(model::equals).isPresent())
                .map(InheritedGroups::keyOf)
                .distinct()
                .count();
    }

    /**
     * Adopts complete, open groups immediately. Adopts other groups, in order to end them, after all members have had
     * time to report.
     */
    ImmutableList<ManagedGroup> adopt(
            EngineProfile engine, List<VmRecord> vms, GroupLedger ledger, long maxWaitNanos, long nowNanos) {
        reopened = vms.stream()
                .flatMap(vm -> keyOf(vm).filter(key -> hasReopened(key, vm)).stream())
                .collect(Collectors.toSet());
        final Map<Key, List<VmRecord>> byGroup = vms.stream()
                .filter(this::isInUnadoptedGroup)
                .collect(Collectors.groupingBy(vm -> keyOf(vm).orElseThrow()));
        findAbandoned(vms, ledger).forEach(key -> byGroup.putIfAbsent(key, List.of()));
        firstSeenNanos.keySet().retainAll(byGroup.keySet());
        byGroup.keySet().forEach(key -> firstSeenNanos.putIfAbsent(key, nowNanos));
        final Map<VmName, VmRecord> byName = Maps.uniqueIndex(vms, vm -> vm.vm().vm());
        final ImmutableList<ManagedGroup> adopted = byGroup.entrySet().stream()
                .flatMap(group -> adopt(
                        group.getKey(),
                        group.getValue(),
                        ledger.find(group.getKey().group(), group.getKey().epoch()),
                        byName,
                        engine,
                        nowNanos - firstSeenNanos.get(group.getKey()) > maxWaitNanos,
                        nowNanos)
                        .stream())
                .collect(ImmutableList.toImmutableList());
        adopted.forEach(group -> {
            recordOwned(group.name, group.epoch);
            endedNanos.remove(new Key(group.name, group.epoch));
            reopened.remove(new Key(group.name, group.epoch));
        });
        return adopted;
    }

    /**
     * Returns the recorded groups that no VM reports, although a member has been heard in this term: it has left or was
     * restarted. A group of which nothing has been heard may be cut off and serve on.
     */
    private ImmutableSet<Key> findAbandoned(List<VmRecord> vms, GroupLedger ledger) {
        return vms.stream()
                .filter(vm -> vm.receivedNanos() - startedNanos > 0)
                .flatMap(vm -> ledger.groupsOf(vm.vm().vm()).stream())
                .filter(ledger::isOfService)
                .map(group -> new Key(group.name(), group.epoch()))
                .filter(key -> !owned.contains(key))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns whether this leader saw the group end, and its head has not been seen to serve since. */
    boolean hasEnded(RecordedGroup group) {
        final Key key = new Key(group.name(), group.epoch());
        return endedNanos.containsKey(key) && !reopened.contains(key);
    }

    private Optional<ManagedGroup> adopt(
            Key key,
            List<VmRecord> members,
            Optional<RecordedGroup> recorded,
            Map<VmName, VmRecord> vms,
            EngineProfile engine,
            boolean waitedLongEnough,
            long nowNanos) {
        final List<VmRecord> byRank = members.stream()
                .sorted(Comparator.comparingInt(vm -> report(vm).rank()))
                .toList();
        final boolean headHeard = !byRank.isEmpty() && report(byRank.get(0)).rank() == 0;
        final boolean open = headHeard && report(byRank.get(0)).state() == GroupState.OPEN;
        final Optional<GroupedModel> model = byRank.stream()
                .findFirst()
                .flatMap(first -> first.heartbeat().loadedModel())
                .or(() -> recorded.map(RecordedGroup::model))
                .flatMap(engine::model);
        // A member of a reopened group may have left it since its last heartbeat.
        final boolean completeAndOpen = open
                && !reopened.contains(key)
                && model.filter(known -> known.groupSize() == byRank.size()).isPresent();
        if (!completeAndOpen && !waitedLongEnough) {
            return Optional.empty();
        }
        final boolean opened = recorded.filter(RecordedGroup::opened).isPresent()
                || (headHeard && OPENED_STATES.contains(report(byRank.get(0)).state()));
        final GroupPhase phase =
                completeAndOpen ? GroupPhase.SERVING : phaseOfIncomplete(key, recorded, vms, headHeard, open);
        // The model of a group that is about to end has no effect, so any will do if the VM reports none.
        return Optional.of(new ManagedGroup(
                key.group(),
                key.epoch(),
                model.orElseGet(() -> engine.models().get(0)),
                completeAndOpen || recorded.isEmpty() ? membersOf(byRank) : membersOf(recorded.get()),
                phase,
                true,
                opened,
                nowNanos));
    }

    /**
     * Returns the phase of a group of which not all members have reported in time. If the log names the others, and nothing
     * heard in this term contradicts it, probes decide whether it serves on. So they do if another process of a member's name
     * is heard that its address has not confirmed.
     */
    private GroupPhase phaseOfIncomplete(
            Key key, Optional<RecordedGroup> recorded, Map<VmName, VmRecord> vms, boolean headHeard, boolean open) {
        if (recorded.isEmpty()) {
            return headHeard ? GroupPhase.CLOSING : GroupPhase.BREAKING;
        }
        final boolean contradicted = recorded.get().members().stream()
                .flatMap(member -> Optional.ofNullable(vms.get(member.vm().vm()))
                        .filter(vm -> vm.receivedNanos() - startedNanos > 0)
                        .filter(vm ->
                                vm.vm().equals(member.vm()) ? !keyOf(vm).equals(Optional.of(key)) : vm.confirmed())
                        .stream())
                .findAny()
                .isPresent();
        final boolean mayServe = !contradicted && !reopened.contains(key) && (open || !headHeard);
        return mayServe ? GroupPhase.CHECKING : GroupPhase.CLOSING;
    }

    private static Optional<Key> keyOf(VmRecord vm) {
        return vm.heartbeat()
                .group()
                .filter(report -> !vm.ended() && !report.group().value().startsWith(SPARE_PREFIX))
                .map(report -> new Key(report.group(), report.epoch()));
    }

    private static List<GroupMember> membersOf(List<VmRecord> byRank) {
        return byRank.stream().map(vm -> new GroupMember(vm.heartbeat())).toList();
    }

    private static List<GroupMember> membersOf(RecordedGroup recorded) {
        return recorded.members().stream().map(GroupMember::new).toList();
    }

    private static GroupReport report(VmRecord vm) {
        return vm.heartbeat().group().orElseThrow();
    }
}
