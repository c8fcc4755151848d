package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import com.google.common.collect.Maps;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.decisions.published.PublishedState;
import org.wigeongrade.decisions.published.RecordedGroup;
import org.wigeongrade.decisions.published.RecordedMember;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmName;

/**
 * The groups of one service that the replicated log holds, as of one planning step.
 *
 * <p>Invariant: every group whose head was ordered to open since the log holds groups is one of them until a leader knew
 * that the head had stopped. An older group is one of them only once a leader has heard of it. Immutable; safe for use
 * from any thread.
 */
public final class GroupLedger {
    private final boolean inForce;
    private final ServiceName service;
    private final ImmutableMap<RecordedGroup.Key, RecordedGroup> byKey;
    private final ImmutableListMultimap<VmName, RecordedGroup> byMember;

    private GroupLedger(boolean inForce, ServiceName service, Iterable<RecordedGroup> ofAllServices) {
        this.inForce = inForce;
        this.service = service;
        this.byKey = Maps.uniqueIndex(
                Iterables.filter(ofAllServices, group -> group.service().equals(service)), RecordedGroup::key);
        final ImmutableListMultimap.Builder<VmName, RecordedGroup> members = ImmutableListMultimap.builder();
        for (final RecordedGroup group : ofAllServices) {
            for (final RecordedMember member : group.members()) {
                members.put(member.vm().vm(), group);
            }
        }
        this.byMember = members.build();
    }

    /** Returns the recorded groups of the service. */
    public static GroupLedger of(PublishedState state, ServiceName service) {
        return new GroupLedger(
                state.format() >= CommandFormat.GROUPS, service, state.groups().all());
    }

    /** Returns whether the log may hold groups; with builds that do not know them it may not. */
    boolean isInForce() {
        return inForce;
    }

    RecordedGroup.Key key(GroupName group, long epoch) {
        return new RecordedGroup.Key(service, group, epoch);
    }

    Map<RecordedGroup.Key, RecordedGroup> groups() {
        return byKey;
    }

    Optional<RecordedGroup> find(GroupName group, long epoch) {
        return Optional.ofNullable(byKey.get(key(group, epoch)));
    }

    /** Returns the recorded groups of all services that the VM, under any incarnation, is a member of. */
    ImmutableList<RecordedGroup> groupsOf(VmName vm) {
        return byMember.get(vm);
    }

    /** Returns whether the group is one of this service, whose leader knows when it has ended. */
    boolean isOfService(RecordedGroup group) {
        return group.service().equals(service);
    }

    /** Returns whether the head of the group may be ordered to open. */
    boolean permitsOpening(GroupName group, long epoch) {
        return !inForce || find(group, epoch).isPresent();
    }
}
