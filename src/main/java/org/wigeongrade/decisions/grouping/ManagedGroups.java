package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.VmName;

/**
 * The managed groups and spares of one service, with the groups of each VM.
 *
 * <p>Invariant: the index lists exactly the groups in the list, so that looking up a VM costs the same with any number
 * of groups. Not thread safe.
 */
final class ManagedGroups {
    private record Key(GroupName group, long epoch) {}

    private final List<ManagedGroup> groups = new ArrayList<>();
    private final Map<VmName, List<ManagedGroup>> byMember = new HashMap<>();
    private final Map<Key, ManagedGroup> byKey = new HashMap<>();

    /** Returns the groups in the order in which they were added; the list is a view. */
    List<ManagedGroup> all() {
        return groups;
    }

    Stream<ManagedGroup> stream() {
        return groups.stream();
    }

    void add(ManagedGroup group) {
        groups.add(group);
        byKey.put(new Key(group.name, group.epoch), group);
        group.members.forEach(member -> byMember.computeIfAbsent(member.vm.vm(), vm -> new ArrayList<>(1))
                .add(group));
    }

    /** Removes and returns the groups that have ended. */
    ImmutableList<ManagedGroup> removeEnded() {
        final ImmutableList<ManagedGroup> ended = groups.stream()
                .filter(group -> group.phase() == GroupPhase.ENDED)
                .collect(ImmutableList.toImmutableList());
        if (!ended.isEmpty()) {
            groups.removeAll(ended);
            ended.forEach(this::removeFromIndex);
        }
        return ended;
    }

    private void removeFromIndex(ManagedGroup group) {
        byKey.remove(new Key(group.name, group.epoch));
        group.members.forEach(member -> byMember.computeIfPresent(member.vm.vm(), (vm, memberOf) -> {
            memberOf.remove(group);
            return memberOf.isEmpty() ? null : memberOf;
        }));
    }

    Optional<ManagedGroup> find(GroupName name, long epoch) {
        return Optional.ofNullable(byKey.get(new Key(name, epoch)));
    }

    /** Returns the groups that have the VM as a member. */
    List<ManagedGroup> withMember(VmName vm) {
        return byMember.getOrDefault(vm, List.of());
    }

    /**
     * Returns whether the VM is a member of a group that is not a spare, or of any group or spare if {@code countSpares}.
     * A VM also counts as a member if it reports the group, which may have been adopted before its first heartbeat.
     */
    boolean isInUse(VmRecord vm, boolean countSpares) {
        final Optional<GroupReport> report = vm.heartbeat().group();
        return withMember(vm.vm().vm()).stream().anyMatch(group -> countSpares || !group.isSpare())
                || report.flatMap(reported -> find(reported.group(), reported.epoch()))
                        .filter(group -> countSpares || !group.isSpare())
                        .isPresent();
    }
}
