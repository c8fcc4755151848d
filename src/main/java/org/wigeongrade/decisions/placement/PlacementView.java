package org.wigeongrade.decisions.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.config.DeclaredGroup;
import org.wigeongrade.decisions.config.DeclaredGroups;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.PoolName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/** Indexes the planner's input by VM, group and pool. Immutable; safe for use from any thread. */
final class PlacementView {
    private final PlacementInput input;
    private final ImmutableMap<VmName, Announcement> liveAnnouncement;
    private final ImmutableMap<VmName, FormedGroup> groupOfVm;
    private final ImmutableMap<GroupName, FormedGroup> formed;
    private final ImmutableListMultimap<PoolName, DeclaredGroup> declaredOfPool;
    private final ImmutableMap<GroupName, DeclaredGroup> declaredGroup;
    private final ImmutableSet<GroupName> loaded;

    PlacementView(PlacementInput input) {
        this.input = input;
        this.liveAnnouncement = Maps.uniqueIndex(
                input.announcements(), announcement -> announcement.vm().vm());
        this.formed = Maps.uniqueIndex(input.groups(), FormedGroup::group);
        this.groupOfVm = groupsOfVms(input.groups());
        this.declaredOfPool = declaredGroups(input);
        this.declaredGroup = Maps.uniqueIndex(declaredOfPool.values(), DeclaredGroup::name);
        this.loaded = input.groups().stream()
                .filter(this::computeLoaded)
                .map(FormedGroup::group)
                .collect(ImmutableSet.toImmutableSet());
    }

    private static ImmutableMap<VmName, FormedGroup> groupsOfVms(List<FormedGroup> groups) {
        final ImmutableMap.Builder<VmName, FormedGroup> byVm = ImmutableMap.builder();
        groups.forEach(group -> group.members().forEach(member -> byVm.put(member.vm(), group)));
        return byVm.buildOrThrow();
    }

    private static ImmutableListMultimap<PoolName, DeclaredGroup> declaredGroups(PlacementInput input) {
        final ImmutableListMultimap.Builder<PoolName, DeclaredGroup> groups = ImmutableListMultimap.builder();
        input.declaredSet()
                .pools()
                .forEach(pool -> groups.putAll(pool.name(), DeclaredGroups.ofPool(input.declaredSet(), pool)));
        return groups.build();
    }

    private boolean computeLoaded(FormedGroup group) {
        return group.members().stream()
                .allMatch(member -> liveAnnouncement(member)
                        .filter(announcement -> announcement.follows(group.group(), group.fencingToken()))
                        .filter(announcement -> announcement.state().serves())
                        .isPresent());
    }

    PlacementInput input() {
        return input;
    }

    /** Returns the announcement of the VM whose lease is valid, of whichever incarnation. */
    Optional<Announcement> liveAnnouncement(VmName vm) {
        return Optional.ofNullable(liveAnnouncement.get(vm));
    }

    /** Returns the live announcement of this incarnation; empty if the VM announces none or another incarnation. */
    Optional<Announcement> liveAnnouncement(VmIncarnation member) {
        return liveAnnouncement(member.vm())
                .filter(announcement -> announcement.vm().equals(member));
    }

    Optional<FormedGroup> groupOf(VmName vm) {
        return Optional.ofNullable(groupOfVm.get(vm));
    }

    Optional<DeclaredGroup> declaredGroup(GroupName group) {
        return Optional.ofNullable(declaredGroup.get(group));
    }

    /** Returns the declared groups of the pool, in the order in which they are formed. */
    List<DeclaredGroup> declaredGroupsOf(PoolName pool) {
        return declaredOfPool.get(pool);
    }

    boolean isFormed(GroupName group) {
        return formed.containsKey(group);
    }

    boolean wasDissolved(GroupName group) {
        return input.dissolvedGroups().contains(group);
    }

    boolean takesNewWork(AvailabilityZone zone) {
        return input.zones().getOrDefault(zone, ZoneState.IN).takesNewWork();
    }

    List<FormedGroup> formedGroupsOf(PoolName pool) {
        return input.groups().stream()
                .filter(group -> group.pool().equals(pool))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns whether every member follows the group's order and serves. */
    boolean isLoaded(FormedGroup group) {
        return loaded.contains(group.group());
    }

    /** Returns the live announcements of engine VMs that belong to no group and may join one, in the order of names. */
    List<Announcement> freeVms() {
        return input.announcements().stream()
                .filter(announcement -> announcement.kind().joinsGroups())
                .filter(announcement -> announcement.state().mayJoinGroup())
                .filter(announcement -> !groupOfVm.containsKey(announcement.vm().vm()))
                .collect(ImmutableList.toImmutableList());
    }

    List<PoolDeclaration> pools() {
        return input.declaredSet().pools();
    }
}
