package org.wigeongrade.decisions.grouping;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.ids.VmName;

/**
 * What one step of a group sees, and where it puts its orders. Not thread safe.
 *
 * @param fencingTerm term of this leader
 */
record GroupSurroundings(
        long nowNanos,
        long fencingTerm,
        GroupTimings timings,
        Map<VmName, VmRecord> vms,
        Map<VmName, EndpointEvidence> evidence,
        Consumer<GroupOrder> orders) {

    EndpointEvidence evidenceOf(GroupMember member) {
        return evidence.getOrDefault(member.vm.vm(), EndpointEvidence.NONE);
    }

    /** Returns the record of exactly this incarnation; empty if it has ended. */
    Optional<VmRecord> record(GroupMember member) {
        return Optional.ofNullable(vms.get(member.vm.vm()))
                .filter(found -> found.vm().equals(member.vm) && !found.ended());
    }

    Optional<GroupReport> report(GroupMember member) {
        return record(member).flatMap(found -> found.heartbeat().group());
    }

    boolean isSilent(GroupMember member) {
        return record(member)
                .filter(found -> found.silentNanos(nowNanos) <= timings.silentNanos())
                .isEmpty();
    }

    boolean isLate(GroupMember member) {
        return record(member)
                .filter(found -> found.silentNanos(nowNanos) <= timings.lateNanos())
                .isEmpty();
    }

    boolean isLeaving(GroupMember member) {
        return record(member).filter(found -> !found.isStaying()).isPresent();
    }
}
