package org.wigeongrade.fleet.control;

import java.util.Optional;
import org.wigeongrade.decisions.grouping.GroupPhaseChange;
import org.wigeongrade.decisions.grouping.PlannerListener;
import org.wigeongrade.decisions.grouping.VmFreedom;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Logs what happens to groups, and on which evidence groups end and VMs are taken. Thread safe.
 *
 * <p>Invariant: every group that ends and every VM that is taken is logged with its evidence.
 */
record GroupLog(EventLog events) implements PlannerListener {
    private static final String NONE = "-";

    @Override
    public void onPhaseChange(GroupPhaseChange change) {
        events.write(
                LogEvent.GROUP_PHASE_CHANGED,
                change.group(),
                change.model(),
                change.phase(),
                change.members(),
                change.cause());
        change.evidence()
                .ifPresent(evidence -> events.write(LogEvent.GROUP_ENDED, change.group(), change.members(), evidence));
    }

    @Override
    public void onVmTaken(VmIncarnation vm, GroupName group, VmFreedom freedom, Optional<GroupPhaseChange> endedGroup) {
        events.write(
                LogEvent.VM_TAKEN,
                vm,
                group,
                freedom,
                endedGroup
                        .map(ended -> ended.group() + ": "
                                + ended.evidence().map(Object::toString).orElse(NONE))
                        .orElse(NONE));
    }
}
