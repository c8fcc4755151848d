package org.wigeongrade.decisions.grouping;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.ids.VmName;

/**
 * The input of one planning step and the consumer of the orders that the step sends. Not thread safe.
 *
 * @param fencingTerm term of this leader
 * @param lateHeartbeatsCount whether a late heartbeat is a sign that its VM failed, and not that this leader is new or
 * slow
 */
record PlanningContext(
        long nowNanos,
        long fencingTerm,
        GroupTimings timings,
        boolean lateHeartbeatsCount,
        Map<VmName, VmRecord> vms,
        Map<VmName, EndpointObservation> observations,
        GroupLedger ledger,
        Consumer<GroupOrder> orders) {

    EndpointObservation observationOf(GroupMember member) {
        return observations.getOrDefault(member.vm.vm(), EndpointObservation.NONE);
    }

    /** Returns the record of this incarnation of the VM; empty if it has ended or another incarnation replaced it. */
    Optional<VmRecord> record(GroupMember member) {
        return Optional.ofNullable(vms.get(member.vm.vm()))
                .filter(found -> found.vm().equals(member.vm) && !found.ended());
    }

    /**
     * Returns whether this incarnation of the VM is known to have ended: its address responded as another process, or a later
     * one of its name stated its start there. A heartbeat alone does not show it, as it may be of another writer. That nothing
     * was heard of it for so long that its record is gone shows nothing.
     */
    boolean hasEnded(GroupMember member) {
        return member.hasEnded()
                || Optional.ofNullable(vms.get(member.vm.vm()))
                        .filter(found ->
                                found.vm().equals(member.vm) ? found.ended() : isConfirmedSuccessor(found, member))
                        .isPresent();
    }

    private static boolean isConfirmedSuccessor(VmRecord found, GroupMember member) {
        return found.confirmed() && found.vm().incarnation() > member.vm.incarnation();
    }

    Optional<GroupReport> report(GroupMember member) {
        return record(member).flatMap(found -> found.heartbeat().group());
    }

    boolean isSilent(GroupMember member) {
        return record(member)
                .filter(found -> found.sinceHeartbeatNanos(nowNanos) <= timings.silentNanos())
                .isEmpty();
    }

    boolean isHeartbeatLate(GroupMember member) {
        return record(member)
                .filter(found -> found.sinceHeartbeatNanos(nowNanos) <= timings.lateNanos())
                .isEmpty();
    }

    boolean isLeaving(GroupMember member) {
        return record(member).filter(found -> !found.isStaying()).isPresent();
    }
}
