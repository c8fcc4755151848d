package org.wigeongrade.decisions.grouping;

import java.util.Optional;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.VmIncarnation;

/** Receives what a planner decides. Called by the thread that plans. */
public interface PlannerListener {
    /** A group was formed or adopted, or entered another phase. */
    void onPhaseChange(GroupPhaseChange change);

    /**
     * A VM that was in no managed group is taken for a group.
     *
     * @param endedGroup the group that this leader saw end, if the VM was a member of one
     */
    void onVmTaken(VmIncarnation vm, GroupName group, VmFreedom freedom, Optional<GroupPhaseChange> endedGroup);
}
