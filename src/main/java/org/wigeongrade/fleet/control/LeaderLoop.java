package org.wigeongrade.fleet.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.grouping.GroupOrder;
import org.wigeongrade.decisions.grouping.GroupTimings;
import org.wigeongrade.decisions.published.PublishedState;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.fleet.ConfigurationCache;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.log.RaftReplicatedLog;

/**
 * Plans while this node leads: at a fixed interval, and soon after news of a group.
 *
 * <p>Invariant: a term's plans are made by one {@link LeaderTerm}, and only while the lease holds. Thread safe.
 */
final class LeaderLoop implements AutoCloseable {
    /** Heartbeats that a new leader waits for before what it did not hear of counts as lost. */
    private static final double SETTLING_HEARTBEATS = 2;

    private final NodeName self;
    private final RaftReplicatedLog log;
    private final PublishedStateMachine machine;
    private final VmRegistry registry;
    private final ConfigurationCache configurations;
    private final OrderSender orders;
    private final GroupTimings timings;
    private final EventLog events;
    private final LongSupplier nanoClock;
    private final long startedNanos;
    private final Thread worker = new Thread(this::run, "plan");
    private final Semaphore news = new Semaphore(0);
    private volatile Optional<LeaderTerm> current = Optional.empty();

    LeaderLoop(
            NodeName self,
            RaftReplicatedLog log,
            PublishedStateMachine machine,
            VmRegistry registry,
            ConfigurationCache configurations,
            OrderSender orders,
            GroupTimings timings,
            EventLog events,
            LongSupplier nanoClock) {
        this.self = self;
        this.log = log;
        this.machine = machine;
        this.registry = registry;
        this.configurations = configurations;
        this.orders = orders;
        this.timings = timings;
        this.events = events;
        this.nanoClock = nanoClock;
        this.startedNanos = nanoClock.getAsLong();
        worker.setDaemon(true);
    }

    void start() {
        worker.start();
    }

    /** Returns the term that this node leads; empty if it does not lead. */
    Optional<LeaderTerm> current() {
        return current;
    }

    /** Asks for a step soon, since an answer or the report of a group came. */
    void wake() {
        news.release();
    }

    private void run() {
        try {
            while (true) {
                step();
                Thread.sleep(FleetTimings.SHORTEST_PLAN_INTERVAL_MS);
                final boolean unused = news.tryAcquire(
                        FleetTimings.PLAN_INTERVAL_MS - FleetTimings.SHORTEST_PLAN_INTERVAL_MS, TimeUnit.MILLISECONDS);
                news.drainPermits();
            }
        } catch (InterruptedException e) {
            endTerm("the node stops");
        }
    }

    private void step() {
        if (!log.leadsWithLease()) {
            endTerm("the lease ended");
            return;
        }
        final long term = log.term();
        if (current.filter(known -> known.term() == term).isEmpty()) {
            endTerm("a newer term");
            current = Optional.of(new LeaderTerm(term, timings, events, nanoClock.getAsLong()));
            events.write(LogEvent.LEADER_ELECTED, self, term);
        }
        try {
            plan(current.get());
        } catch (RuntimeException e) {
            events.writeFault(LogEvent.PLACEMENT_FAILED, e, e);
        }
    }

    private void plan(LeaderTerm term) {
        final PublishedState state = machine.state();
        final long nowNanos = nanoClock.getAsLong();
        if (state.document().isEmpty()) {
            return;
        }
        final List<VmRecord> vms = registry.records(nowNanos);
        final long settlingNanos = (long) (SETTLING_HEARTBEATS * timings.heartbeatNanos());
        final boolean known = nowNanos - startedNanos > settlingNanos && !vms.isEmpty();
        final List<GroupOrder> given =
                term.plan(configurations.get(state.version(), state.document().get()), vms, known, nowNanos);
        if (log.leadsWithLease()) {
            given.forEach(order -> orders.send(order, (sent, answer) -> {
                term.answered(sent, answer, nanoClock.getAsLong());
                wake();
            }));
        }
    }

    private void endTerm(String cause) {
        current.ifPresent(term -> events.write(LogEvent.LEADER_LOST, self, term.term(), cause));
        current = Optional.empty();
    }

    /** Waits for no longer than a step, then ends. */
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
