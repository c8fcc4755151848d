package org.wigeongrade.nodes.control;

import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import com.google.common.util.concurrent.Uninterruptibles;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.placement.Order;
import org.wigeongrade.decisions.placement.PlacementAction;
import org.wigeongrade.decisions.placement.PlacementInput;
import org.wigeongrade.decisions.placement.PlacementPlanner;
import org.wigeongrade.decisions.placement.PlacementReason;
import org.wigeongrade.endpoints.OrderSender;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Carries out the placement plan while this VM leads: commits its commands, then gives its orders.
 *
 * <p>Invariant: orders of a plan leave only if every command before them was committed and the lease is still valid.
 * Its own thread runs every plan, one after another.
 */
public final class PlacementLoop implements AutoCloseable {
    private static final long INTERVAL_MS = 200;

    private final ControlRole control;
    private final OrderSender orders;
    private final ShareBounds shareBounds;
    private final FleetMeasures measures;
    private final EventLog events;
    private final OrderPacing pacing = new OrderPacing();
    private final FreedVms freedVms = new FreedVms();
    private final ExecutorService thread = Executors.newSingleThreadScheduledExecutor(new ThreadFactoryBuilder()
            .setNameFormat("placement")
            .setDaemon(true)
            .build());

    public PlacementLoop(ControlRole control, OrderSender orders, FleetMeasures measures, EventLog events) {
        this.control = control;
        this.orders = orders;
        this.measures = measures;
        this.events = events;
        this.shareBounds = new ShareBounds();
    }

    /** Begins to plan. */
    public void start() {
        thread.execute(this::runUntilClosed);
    }

    @Override
    public void close() {
        thread.shutdown();
    }

    private void runUntilClosed() {
        while (!thread.isShutdown()) {
            runOnce();
            Uninterruptibles.sleepUninterruptibly(INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void runOnce() {
        try {
            final Optional<Leadership> leadership = control.leadership();
            measures.leads(leadership.isPresent());
            leadership.ifPresent(this::plan);
        } catch (WigeongradeException failure) {
            events.write(LogEvent.PLACEMENT_FAILED, failure.getMessage());
        } catch (RuntimeException failure) {
            events.writeFault(LogEvent.PLACEMENT_FAILED, failure, failure.toString());
        }
    }

    private void plan(Leadership leadership) {
        final long nowNanos = control.nowNanos();
        shareBounds.update(control.state(), leadership, nowNanos);
        measures.update(control.state(), leadership, nowNanos);
        final PlacementInput input = PlacementInput.of(
                control.state(),
                leadership.announcements(),
                leadership.term(),
                nowNanos,
                control.nowEpochMs(),
                leadership.membersKnownAtNanos(),
                leadership.olderOrdersEndNanos());
        final List<PlacementAction> plan = PlacementPlanner.plan(input);
        leadership.setHolds(holds(plan));
        for (final PlacementAction action : plan) {
            if (!carryOut(action, leadership, nowNanos)) {
                return;
            }
        }
    }

    private static ImmutableMap<GroupName, PlacementReason> holds(List<PlacementAction> plan) {
        return plan.stream()
                .filter(PlacementAction.Hold.class::isInstance)
                .map(PlacementAction.Hold.class::cast)
                .collect(ImmutableMap.toImmutableMap(PlacementAction.Hold::group, PlacementAction.Hold::reason));
    }

    /** Returns whether the rest of the plan may be carried out. */
    private boolean carryOut(PlacementAction action, Leadership leadership, long nowNanos) {
        if (action instanceof PlacementAction.FormGroup form) {
            return commit(form.command()).isPresent() && logFormed(form.command());
        }
        if (action instanceof PlacementAction.DissolveGroup dissolve) {
            return dissolve(dissolve, leadership, nowNanos);
        }
        if (action instanceof PlacementAction.SendOrder send && isDue(send.order(), leadership, nowNanos)) {
            final boolean leads = control.leadership().isPresent();
            if (leads) {
                orders.send(send.order());
            }
            return leads;
        }
        return true;
    }

    private boolean isDue(Order order, Leadership leadership, long nowNanos) {
        return nowNanos - leadership.olderLeasesEndNanos() >= 0
                && freedVms.isOrderable(order.vm().vm(), nowNanos)
                && pacing.isDue(order, nowNanos);
    }

    private boolean dissolve(PlacementAction.DissolveGroup action, Leadership leadership, long nowNanos) {
        final Command.DissolveGroup command = action.command();
        final Optional<FormedGroup> group = control.state().groups().stream()
                .filter(formed -> formed.group().equals(command.group()))
                .findFirst();
        if (commit(command).isEmpty()) {
            return false;
        }
        if (action.reason() != PlacementReason.MEMBER_LOST) {
            final long leasesEndNanos = nowNanos + leadership.leaseNanos();
            group.ifPresent(formed -> freedVms.dissolved(formed, leasesEndNanos));
        }
        events.write(LogEvent.GROUP_DISSOLVED, command.group(), command.reason());
        return true;
    }

    private Optional<CommandResult> commit(Command command) {
        final CommandResult result = control.submit(command);
        if (result instanceof CommandResult.Refused refused) {
            events.write(LogEvent.PLACEMENT_FAILED, refused.message());
            return Optional.empty();
        }
        return Optional.of(result);
    }

    private boolean logFormed(Command.FormGroup command) {
        events.write(LogEvent.GROUP_FORMED, command.group(), command.members(), command.reason());
        return true;
    }
}
