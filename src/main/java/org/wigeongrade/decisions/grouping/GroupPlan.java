package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.wigeongrade.decisions.published.PublishedCommand;

/**
 * The outcome of a planning step. Immutable; safe for use from any thread.
 *
 * @param orders orders to send now
 * @param commands changes of the recorded groups to propose to the replicated log; a later step repeats those that do
 * not take effect
 */
public record GroupPlan(ImmutableList<GroupOrder> orders, ImmutableList<PublishedCommand> commands) {
    public static final GroupPlan NOTHING = new GroupPlan(ImmutableList.of(), ImmutableList.of());

    /** Returns a plan with the content of all given ones. */
    public static GroupPlan concat(List<GroupPlan> plans) {
        return new GroupPlan(
                plans.stream().flatMap(plan -> plan.orders().stream()).collect(ImmutableList.toImmutableList()),
                plans.stream().flatMap(plan -> plan.commands().stream()).collect(ImmutableList.toImmutableList()));
    }
}
