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

/** The planner's input indexed by VM and group. Immutable; safe for use from any thread. */
final class PlacementView {
    private final PlacementInput input;
    private final ImmutableMap<VmName, Announcement> live;
    private final ImmutableMap<VmName, FormedGroup> groupOfVm;
    private final ImmutableMap<GroupName, FormedGroup> formed;
    private final ImmutableListMultimap<PoolName, DeclaredGroup> declaredOfPool;
    private final ImmutableMap<GroupName, DeclaredGroup> declared;
    private final ImmutableSet<GroupName> loaded;

    PlacementView(PlacementInput input) {
        this.input = input;
        this.live = Maps.uniqueIndex(input.announcements(), said -> said.vm().vm());
        this.formed = Maps.uniqueIndex(input.groups(), FormedGroup::group);
        this.groupOfVm = groupsOfVms(input.groups());
        this.declaredOfPool = declaredGroups(input);
        this.declared = Maps.uniqueIndex(declaredOfPool.values(), DeclaredGroup::name);
        this.loaded = input.groups().stream()
                .filter(this::hasLoaded)
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
                .forEach(pool -> groups.putAll(pool.name(), DeclaredGroups.of(input.declaredSet(), pool)));
        return groups.build();
    }

    private boolean hasLoaded(FormedGroup group) {
        return group.members().stream()
                .allMatch(member -> live(member)
                        .filter(said -> said.follows(group.group(), group.fencingToken()))
                        .filter(said -> said.state().serves())
                        .isPresent());
    }

    PlacementInput input() {
        return input;
    }

    Optional<Announcement> live(VmName vm) {
        return Optional.ofNullable(live.get(vm));
    }

    /** Returns the live announcement of exactly this incarnation, if there is one. */
    Optional<Announcement> live(VmIncarnation member) {
        return live(member.vm()).filter(said -> said.vm().equals(member));
    }

    Optional<FormedGroup> groupOf(VmName vm) {
        return Optional.ofNullable(groupOfVm.get(vm));
    }

    Optional<DeclaredGroup> declared(GroupName group) {
        return Optional.ofNullable(declared.get(group));
    }

    /** Returns the groups that the pool declares, in the order in which they are formed. */
    List<DeclaredGroup> declaredOf(PoolName pool) {
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

    List<FormedGroup> formedOf(PoolName pool) {
        return input.groups().stream()
                .filter(group -> group.pool().equals(pool))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns whether every member follows its order and serves. */
    boolean isLoaded(FormedGroup group) {
        return loaded.contains(group.group());
    }

    /** Returns the engine VMs that belong to no group and may join one, in the order of names. */
    List<Announcement> free() {
        return input.announcements().stream()
                .filter(said -> said.kind().joinsGroups())
                .filter(said -> said.state().mayJoinGroup())
                .filter(said -> !groupOfVm.containsKey(said.vm().vm()))
                .collect(ImmutableList.toImmutableList());
    }

    List<PoolDeclaration> pools() {
        return input.declaredSet().pools();
    }
}
