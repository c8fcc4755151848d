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
 * Makes and executes placement plans while this VM is the leader: commits the commands of a plan, then sends its
 * orders.
 *
 * <p>Invariant: an order of a plan is sent only after every command before it in the plan was committed, and only while
 * the lease is still valid. A dedicated thread executes the plans one after another.
 */
public final class PlacementLoop implements AutoCloseable {
    private static final long INTERVAL_MS = 200;

    private final ControlRole control;
    private final OrderSender orderSender;
    private final ShareLimits shareLimits;
    private final FleetMetrics metrics;
    private final EventLog events;
    private final OrderRateLimiter orderRateLimiter = new OrderRateLimiter();
    private final FreedVms freedVms = new FreedVms();
    private final ExecutorService executor = Executors.newSingleThreadScheduledExecutor(new ThreadFactoryBuilder()
            .setNameFormat("placement")
            .setDaemon(true)
            .build());

    public PlacementLoop(ControlRole control, OrderSender orderSender, FleetMetrics metrics, EventLog events) {
        this.control = control;
        this.orderSender = orderSender;
        this.metrics = metrics;
        this.events = events;
        this.shareLimits = new ShareLimits();
    }

    /** Starts the loop. */
    public void start() {
        executor.execute(this::runUntilClosed);
    }

    @Override
    public void close() {
        executor.shutdown();
    }

    private void runUntilClosed() {
        while (!executor.isShutdown()) {
            runOnce();
            Uninterruptibles.sleepUninterruptibly(INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void runOnce() {
        try {
            final Optional<LeaderState> leaderState = control.leaderState();
            metrics.setLeader(leaderState.isPresent());
            leaderState.ifPresent(this::planAndExecute);
        } catch (WigeongradeException failure) {
            events.write(LogEvent.PLACEMENT_FAILED, failure.getMessage());
        } catch (RuntimeException failure) {
            events.writeWithStackTrace(LogEvent.PLACEMENT_FAILED, failure, failure.toString());
        }
    }

    private void planAndExecute(LeaderState leaderState) {
        final long nowNanos = control.nowNanos();
        shareLimits.update(control.state(), leaderState, nowNanos);
        metrics.update(control.state(), leaderState, nowNanos);
        final PlacementInput input = PlacementInput.of(
                control.state(),
                leaderState.announcements(),
                leaderState.term(),
                nowNanos,
                control.nowEpochMs(),
                leaderState.membersKnownAtNanos(),
                leaderState.olderOrdersEndNanos());
        final List<PlacementAction> plan = PlacementPlanner.plan(input);
        leaderState.setHolds(holds(plan));
        for (final PlacementAction action : plan) {
            if (!execute(action, leaderState, nowNanos)) {
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

    /** Executes one action of the plan. Returns whether the rest of the plan may be executed. */
    private boolean execute(PlacementAction action, LeaderState leaderState, long nowNanos) {
        if (action instanceof PlacementAction.FormGroup form) {
            if (commit(form.command()).isPresent()) {
                events.write(
                        LogEvent.GROUP_FORMED,
                        form.command().group(),
                        form.command().members(),
                        form.command().reason());
            }
            return true;
        }
        if (action instanceof PlacementAction.DissolveGroup dissolve) {
            dissolve(dissolve, leaderState, nowNanos);
            return true;
        }
        if (action instanceof PlacementAction.SendOrder send && maySend(send.order(), leaderState, nowNanos)) {
            final boolean leading = control.leaderState().isPresent();
            if (leading) {
                orderSender.send(send.order());
            }
            return leading;
        }
        return true;
    }

    private boolean maySend(Order order, LeaderState leaderState, long nowNanos) {
        return nowNanos - leaderState.olderLeasesEndNanos() >= 0
                && freedVms.mayReceiveOrder(order.vm().vm(), nowNanos)
                && orderRateLimiter.tryAcquire(order, nowNanos);
    }

    private void dissolve(PlacementAction.DissolveGroup action, LeaderState leaderState, long nowNanos) {
        final Command.DissolveGroup command = action.command();
        final Optional<FormedGroup> group = control.state().groups().stream()
                .filter(formed -> formed.group().equals(command.group()))
                .findFirst();
        if (commit(command).isEmpty()) {
            return;
        }
        if (action.reason() != PlacementReason.MEMBER_LOST) {
            final long leasesEndNanos = nowNanos + leaderState.viewLeaseNanos();
            group.ifPresent(formed -> freedVms.recordDissolvedGroup(formed, leasesEndNanos));
        }
        events.write(LogEvent.GROUP_DISSOLVED, command.group(), command.reason());
    }

    private Optional<CommandResult> commit(Command command) {
        final CommandResult result = control.submit(command);
        if (result instanceof CommandResult.Refused refused) {
            events.write(LogEvent.PLACEMENT_FAILED, refused.message());
            return Optional.empty();
        }
        return Optional.of(result);
    }
}
