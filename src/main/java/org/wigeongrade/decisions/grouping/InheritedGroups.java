package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
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
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;

/**
 * Takes over what an earlier leader formed, from what the VMs report of themselves, whenever they are first heard.
 *
 * <p>Invariants: a VM that reports a group of an earlier leader is not free before that group was taken over and has ended;
 * an order of the earlier leader may still be carried out, so every group that is not whole and open counts as one that may
 * yet open, until its head has left it. Not thread safe.
 */
final class InheritedGroups {
    /** Groups that serve. */
    static final String GROUP_PREFIX = "g";
    /** Single VMs that are kept warm and never opened. */
    static final String SPARE_PREFIX = "s";

    private record Key(GroupName group, long epoch) {}

    private final Set<Key> own = new HashSet<>();
    private final Map<Key, Long> endedNanos = new HashMap<>();
    private final Map<Key, Long> firstSeenNanos = new HashMap<>();

    /** Takes the news that this leader formed or took over a group. */
    void own(GroupName group, long epoch) {
        own.add(new Key(group, epoch));
    }

    /** Takes the news that a group has ended. */
    void ended(GroupName group, long epoch, long nowNanos) {
        endedNanos.put(new Key(group, epoch), nowNanos);
    }

    /**
     * Returns whether the VM reports a group that was not taken over yet: one of an earlier leader, or one that ended and
     * that an order carried out late has brought back.
     */
    boolean isIn(VmRecord vm) {
        return keyOf(vm).filter(key -> !own.contains(key) || cameBack(key, vm)).isPresent();
    }

    private boolean cameBack(Key key, VmRecord vm) {
        final GroupState state = report(vm).state();
        return endedNanos.containsKey(key)
                && vm.heardNanos() - endedNanos.get(key) > 0
                && (state == GroupState.OPEN || state == GroupState.CLOSING);
    }

    /** Returns the groups of a model that are known from VMs that were heard of late and not taken over yet. */
    int pending(ModelVersionName model, List<VmRecord> vms, long patienceNanos, long nowNanos) {
        return (int) vms.stream()
                .filter(vm -> vm.silentNanos(nowNanos) <= patienceNanos)
                .filter(vm -> isIn(vm)
                        && vm.heartbeat().loadedModel().filter(model::equals).isPresent())
                .map(InheritedGroups::keyOf)
                .distinct()
                .count();
    }

    /** Takes over the groups that are whole, and those that are not after every member had the time to report. */
    ImmutableList<ManagedGroup> adopt(EngineProfile engine, List<VmRecord> vms, long patienceNanos, long nowNanos) {
        final Map<Key, List<VmRecord>> byGroup = vms.stream()
                .filter(this::isIn)
                .collect(Collectors.groupingBy(vm -> keyOf(vm).orElseThrow()));
        firstSeenNanos.keySet().retainAll(byGroup.keySet());
        byGroup.keySet().forEach(key -> firstSeenNanos.putIfAbsent(key, nowNanos));
        final ImmutableList<ManagedGroup> adopted = byGroup.entrySet().stream()
                .flatMap(group -> adopt(
                        group.getKey(),
                        group.getValue(),
                        engine,
                        nowNanos - firstSeenNanos.get(group.getKey()) > patienceNanos,
                        nowNanos)
                        .stream())
                .collect(ImmutableList.toImmutableList());
        adopted.forEach(group -> {
            own(group.name, group.epoch);
            endedNanos.remove(new Key(group.name, group.epoch));
        });
        return adopted;
    }

    private static Optional<ManagedGroup> adopt(
            Key key, List<VmRecord> members, EngineProfile engine, boolean waited, long nowNanos) {
        final List<VmRecord> byRank = members.stream()
                .sorted(Comparator.comparingInt(vm -> report(vm).rank()))
                .toList();
        final boolean headKnown = report(byRank.get(0)).rank() == 0;
        final boolean open = headKnown && report(byRank.get(0)).state() == GroupState.OPEN;
        final Optional<GroupedModel> model =
                byRank.get(0).heartbeat().loadedModel().flatMap(engine::model);
        final boolean whole = open
                && model.filter(known -> known.groupSize() == byRank.size()).isPresent();
        if (!whole && !waited) {
            return Optional.empty();
        }
        final GroupPhase phase = whole ? GroupPhase.SERVING : headKnown ? GroupPhase.CLOSING : GroupPhase.BREAKING;
        // The model of a group that is about to end decides nothing; the VM may not report one.
        return Optional.of(new ManagedGroup(
                key.group(),
                key.epoch(),
                model.orElseGet(() -> engine.models().get(0)),
                membersOf(byRank),
                phase,
                true,
                nowNanos));
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

    private static GroupReport report(VmRecord vm) {
        return vm.heartbeat().group().orElseThrow();
    }
}
