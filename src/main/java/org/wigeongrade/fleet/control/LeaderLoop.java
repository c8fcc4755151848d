package org.wigeongrade.fleet.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.grouping.GroupOrder;
import org.wigeongrade.decisions.grouping.GroupPlan;
import org.wigeongrade.decisions.grouping.GroupTimings;
import org.wigeongrade.decisions.published.PublishedCommand;
import org.wigeongrade.decisions.published.PublishedState;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.decisions.published.ViewChange;
import org.wigeongrade.decisions.published.ViewConfirmations;
import org.wigeongrade.fleet.ConfigurationCache;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.log.RaftReplicatedLog;

/**
 * Runs planning steps while this node leads: at a fixed interval, and soon after a group changes. Asks again about
 * contested heartbeats at the same interval.
 *
 * <p>Invariant: all plans of a term come from one {@link LeaderTerm}, made only while the lease is held. A lease that
 * lapses and is renewed in the same term continues with that object, because no other node can have led in between.
 * Thread safe.
 */
final class LeaderLoop implements AutoCloseable {
    /** Heartbeat intervals that this node waits after its start before it treats VMs without a heartbeat as lost. */
    private static final double DISCOVERY_HEARTBEATS = 2;
    /** Multiple of a step's duration for which the next one waits, to leave time for heartbeats and pulls. */
    private static final long PAUSE_PER_STEP_TIME = 3;

    private final NodeName self;
    private final RaftReplicatedLog log;
    private final PublishedStateMachine stateMachine;
    private final VmRegistry registry;
    private final ConfigurationCache configurations;
    private final ConflictInvestigator conflicts;
    private final OrderSender orderSender;
    private final FormatUpgrade formatUpgrade;
    private final ViewConfirmations viewConfirmations;
    private final GroupTimings timings;
    private final EventLog events;
    private final WaitClock waitClock;
    private final long startedNanos;
    private final Thread worker = new Thread(this::run, "plan");
    private final Semaphore wakeUps = new Semaphore(0);
    private volatile Optional<LeaderTerm> currentTerm = Optional.empty();
    /** The latest term that this node led, also after its lease has lapsed. Used by the planning thread only. */
    private Optional<LeaderTerm> latestTerm = Optional.empty();

    LeaderLoop(
            NodeName self,
            RaftReplicatedLog log,
            PublishedStateMachine stateMachine,
            VmRegistry registry,
            ConfigurationCache configurations,
            ConflictInvestigator conflicts,
            OrderSender orderSender,
            FormatUpgrade formatUpgrade,
            ViewConfirmations viewConfirmations,
            GroupTimings timings,
            EventLog events,
            WaitClock waitClock) {
        this.self = self;
        this.log = log;
        this.stateMachine = stateMachine;
        this.registry = registry;
        this.configurations = configurations;
        this.conflicts = conflicts;
        this.orderSender = orderSender;
        this.formatUpgrade = formatUpgrade;
        this.viewConfirmations = viewConfirmations;
        this.timings = timings;
        this.events = events;
        this.waitClock = waitClock;
        this.startedNanos = waitClock.nowNanos();
        worker.setDaemon(true);
    }

    void start() {
        worker.start();
    }

    /** Returns the state of the term that this node leads; empty if it does not lead. */
    Optional<LeaderTerm> currentTerm() {
        return currentTerm;
    }

    /**
     * Returns a future that completes once the entry nodes have the change in force, or after a time limit; it fails if
     * this node does not lead until then.
     *
     * @param change a change that this node stored
     */
    CompletableFuture<ViewConfirmations.Outcome> awaitInForce(ViewChange change) {
        return viewConfirmations.await(change, waitClock.nowNanos()).whenComplete((known, failure) -> {
            if (failure == null) {
                logInForce(known);
            }
        });
    }

    private void logInForce(ViewConfirmations.Outcome outcome) {
        events.write(
                LogEvent.CHANGE_IN_FORCE,
                outcome.change(),
                outcome.entryNodes() - outcome.missing().size(),
                outcome.entryNodes(),
                outcome.waitedMs(),
                outcome.missing());
    }

    /** Requests a planning step soon; called after the response to an order or a change of a group. */
    void wake() {
        wakeUps.release();
    }

    private void run() {
        try {
            while (true) {
                final long begunNanos = waitClock.nowNanos();
                step();
                Thread.sleep(pauseMs(waitClock.nowNanos() - begunNanos));
                final boolean unused = wakeUps.tryAcquire(
                        FleetTimings.PLAN_INTERVAL_MS - FleetTimings.MIN_PLAN_INTERVAL_MS, TimeUnit.MILLISECONDS);
                wakeUps.drainPermits();
            }
        } catch (InterruptedException e) {
            endTerm("the node stops");
        }
    }

    /** Returns the pause after a step of the given duration. */
    private static long pauseMs(long stepNanos) {
        return Math.max(
                FleetTimings.MIN_PLAN_INTERVAL_MS,
                Math.min(
                        FleetTimings.PLAN_INTERVAL_MS, PAUSE_PER_STEP_TIME * TimeUnit.NANOSECONDS.toMillis(stepNanos)));
    }

    private void step() {
        conflicts.investigate();
        if (!log.isLeaderWithLease()) {
            endTerm("the lease ended");
            return;
        }
        final long term = log.term();
        if (currentTerm.filter(leaderTerm -> leaderTerm.term() == term).isEmpty()) {
            endTerm("a newer term");
            latestTerm = latestTerm
                    .filter(led -> led.term() == term)
                    .or(() -> Optional.of(new LeaderTerm(term, timings, registry, events, waitClock.nowNanos())));
            viewConfirmations.beginTerm(waitClock.nowNanos());
            currentTerm = latestTerm;
            events.write(LogEvent.LEADER_ELECTED, self, term);
        }
        viewConfirmations.expire(waitClock.nowNanos());
        try {
            formatUpgrade.proposeIfSupported(waitClock.nowNanos());
            plan(currentTerm.get());
        } catch (RuntimeException e) {
            events.writeWithStackTrace(LogEvent.PLACEMENT_FAILED, e, e);
        }
    }

    private void plan(LeaderTerm term) {
        final PublishedState state = stateMachine.state();
        final long nowNanos = waitClock.nowNanos();
        if (state.document().isEmpty()) {
            return;
        }
        final List<VmRecord> vms = registry.records(nowNanos).stream()
                .map(vm -> state.isWithdrawn(vm.heartbeat()) ? vm.asLeaving() : vm)
                .toList();
        final long discoveryNanos = (long) (DISCOVERY_HEARTBEATS * timings.heartbeatNanos());
        final boolean vmsKnown = nowNanos - startedNanos > discoveryNanos && !vms.isEmpty();
        final GroupPlan plan =
                term.plan(configurations.get(state.version(), state.document().get()), state, vms, vmsKnown, nowNanos);
        for (final PublishedCommand change : plan.commands()) {
            if (!log.holdsLease(term.term())) {
                return;
            }
            propose(change);
        }
        for (final GroupOrder order : plan.orders()) {
            // Checked before each order, because this thread may have been paused since the one before.
            if (!log.holdsLease(term.term())) {
                return;
            }
            orderSender.send(order, (sent, answer) -> {
                term.handleOrderAnswer(sent, answer, waitClock.nowNanos());
                wake();
            });
        }
    }

    /** Proposes a change of the recorded groups; a later step proposes it again if it does not take effect. */
    private void propose(PublishedCommand change) {
        final var unused = log.submit(change.encode()).whenComplete((result, failure) -> {
            if (failure != null) {
                events.write(LogEvent.GROUP_NOT_RECORDED, change, failure.getMessage());
            }
            wake();
        });
    }

    private void endTerm(String cause) {
        currentTerm.ifPresent(term -> events.write(LogEvent.LEADER_LOST, self, term.term(), cause));
        currentTerm = Optional.empty();
        viewConfirmations.failAll();
    }

    /** Interrupts the planning thread and waits up to one second for it to end. */
    @Override
    public void close() {
        worker.interrupt();
        try {
            worker.join(TimeUnit.SECONDS.toMillis(1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
