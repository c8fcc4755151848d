package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.GroupName;

/**
 * Takes over what an earlier leader formed, from what the VMs report of themselves.
 *
 * <p>Invariant: an order of the earlier leader may still be carried out, so every group that is not whole and open counts
 * as one that may yet open, until its head has left it. Stateless.
 */
final class InheritedGroups {
    /** Groups that serve. */
    static final String GROUP_PREFIX = "g";
    /** Single VMs that are kept warm and never opened. */
    static final String SPARE_PREFIX = "s";

    private record Key(GroupName group, long epoch) {}

    private InheritedGroups() {}

    static ImmutableList<ManagedGroup> adopt(EngineProfile engine, List<VmRecord> vms, long nowNanos) {
        final Map<Key, List<VmRecord>> byGroup = vms.stream()
                .filter(vm -> !vm.ended() && vm.heartbeat().group().isPresent())
                .filter(vm -> !report(vm).group().value().startsWith(SPARE_PREFIX))
                .collect(Collectors.groupingBy(
                        vm -> new Key(report(vm).group(), report(vm).epoch())));
        return byGroup.entrySet().stream()
                .flatMap(group -> adopt(group.getKey(), group.getValue(), engine, nowNanos).stream())
                .collect(ImmutableList.toImmutableList());
    }

    private static Optional<ManagedGroup> adopt(Key key, List<VmRecord> members, EngineProfile engine, long nowNanos) {
        final List<VmRecord> byRank = members.stream()
                .sorted(Comparator.comparingInt(vm -> report(vm).rank()))
                .toList();
        final Optional<GroupedModel> model =
                byRank.get(0).heartbeat().loadedModel().flatMap(engine::model);
        if (model.isEmpty()) {
            return Optional.empty();
        }
        final boolean headKnown = report(byRank.get(0)).rank() == 0;
        final boolean open = headKnown && report(byRank.get(0)).state() == GroupState.OPEN;
        final boolean whole = open && byRank.size() == model.get().groupSize();
        final GroupPhase phase = whole ? GroupPhase.SERVING : headKnown ? GroupPhase.CLOSING : GroupPhase.BREAKING;
        return Optional.of(
                new ManagedGroup(key.group(), key.epoch(), model.get(), membersOf(byRank), phase, true, nowNanos));
    }

    private static List<GroupMember> membersOf(List<VmRecord> byRank) {
        return byRank.stream()
                .map(vm -> new GroupMember(vm.vm(), vm.heartbeat().address()))
                .toList();
    }

    private static GroupReport report(VmRecord vm) {
        return vm.heartbeat().group().orElseThrow();
    }
}
