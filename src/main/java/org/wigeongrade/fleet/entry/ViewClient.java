package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.thrift.TException;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.fleet.ConfigurationCache;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.fleet.FleetClient;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.net.EventLoop;
import org.wigeongrade.fleet.thrift.CrashRecord;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.fleet.thrift.PullRequest;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Pulls the view from the leader at a fixed interval, on a thread of its own, and hands it to the event loop.
 *
 * <p>Invariant: only answers of a leader whose lease held are taken; versions never go back. Thread safe.
 */
final class ViewClient implements AutoCloseable {
    private final NodeName self;
    private final AvailabilityZone zone;
    private final ControlDirectory directory;
    private final EndpointFleet fleet;
    private final EventLoop loop;
    private final ConfigurationCache configurations;
    private final EventLog events;
    private final LongSupplier nanoClock;
    private final Thread worker = new Thread(this::run, "pull");
    private final Deque<String> untriedControlVms = new ArrayDeque<>();
    /** The control VM that leads, as far as is known. */
    private Optional<String> target = Optional.empty();

    private Optional<String> connected = Optional.empty();
    private Optional<FleetClient> client = Optional.empty();
    private boolean failing;

    ViewClient(
            NodeName self,
            AvailabilityZone zone,
            ControlDirectory directory,
            EndpointFleet fleet,
            EventLoop loop,
            ConfigurationCache configurations,
            EventLog events,
            LongSupplier nanoClock) {
        this.self = self;
        this.zone = zone;
        this.directory = directory;
        this.fleet = fleet;
        this.loop = loop;
        this.configurations = configurations;
        this.events = events;
        this.nanoClock = nanoClock;
        worker.setDaemon(true);
    }

    void start() {
        worker.start();
    }

    private void run() {
        try {
            while (true) {
                final boolean led = pullOrLog();
                Thread.sleep(led ? FleetTimings.PULL_INTERVAL_MS : FleetTimings.PULL_INTERVAL_MS / 4);
            }
        } catch (InterruptedException e) {
            client.ifPresent(FleetClient::close);
        }
    }

    private boolean pullOrLog() throws InterruptedException {
        try {
            return pull();
        } catch (RuntimeException e) {
            target = Optional.empty();
            events.writeFault(LogEvent.VIEW_PULL_FAILED, e, connected.orElse("-"), e);
            return false;
        }
    }

    /** Makes one pull; returns whether a leader answered it. */
    private boolean pull() throws InterruptedException {
        final String controlVm = target.orElseGet(this::nextControlVm);
        connectTo(controlVm);
        final PullRequest request = onLoop(this::request);
        final long sentNanos = nanoClock.getAsLong();
        try {
            final PullReply reply = client.orElseThrow().call(calls -> calls.pull(request));
            directory.learn(reply.getControlVms());
            if (reply.isLeads()) {
                take(reply, sentNanos);
                target = Optional.of(controlVm);
                return true;
            }
            returnCrashes(request.getCrashes());
            target = Optional.of(reply.getLeader()).filter(leader -> !leader.isEmpty() && !leader.equals(controlVm));
        } catch (TException | IllegalArgumentException e) {
            returnCrashes(request.getCrashes());
            target = Optional.empty();
            noteFailure(controlVm, e);
        }
        return false;
    }

    private void connectTo(String controlVm) {
        if (connected.filter(controlVm::equals).isPresent()) {
            return;
        }
        client.ifPresent(FleetClient::close);
        client = Optional.of(new FleetClient(directory.fleetAddress(controlVm), FleetTimings.PULL_TIMEOUT_MS));
        connected = Optional.of(controlVm);
    }

    private String nextControlVm() {
        if (untriedControlVms.isEmpty()) {
            untriedControlVms.addAll(directory.known());
        }
        return untriedControlVms.removeFirst();
    }

    private PullRequest request() {
        final EntryView view = fleet.view();
        final ImmutableList<UsageRecord> usage = fleet.takeUsage(nanoClock.getAsLong());
        final ImmutableList<CrashRecord> crashes = fleet.takeCrashes();
        return new PullRequest(
                self.value(), zone.value(), view.version(), view.term(), view.changeNumber(), usage, crashes);
    }

    private void take(PullReply reply, long sentNanos) throws InterruptedException {
        failing = false;
        final EntryView known = fleet.view();
        final Optional<PublishedConfiguration> newer = reply.isSetDocument()
                ? Optional.of(configurations.get(reply.getConfigurationVersion(), reply.getDocument()))
                        .filter(found -> found.version() > known.version())
                : Optional.empty();
        final boolean replaces = reply.isComplete() && reply.isSettled();
        final EntryView next = new EntryView(
                newer.or(known::configuration),
                reply.getZonesOut().stream().map(AvailabilityZone::of).collect(ImmutableSet.toImmutableSet()),
                EntryView.merge(known.endpoints(), reply.getChanged(), reply.getRemoved(), replaces),
                Optional.ofNullable(reply.getInFlightElsewhere()).orElse(Map.of()),
                Optional.ofNullable(reply.getUnreadTokensElsewhere()).orElse(Map.of()),
                ImmutableSet.copyOf(reply.getQuarantined()),
                reply.getEntryVms(),
                // A leader that is not settled is asked for its whole state again.
                reply.isSettled() ? reply.getTerm() : 0,
                reply.getChangeNumber(),
                sentNanos);
        newer.ifPresent(configuration -> events.write(LogEvent.VIEW_CHANGED, configuration.version()));
        onLoop(() -> {
            fleet.apply(next, nanoClock.getAsLong());
            return ImmutableMap.of();
        });
    }

    private void returnCrashes(List<CrashRecord> crashes) throws InterruptedException {
        if (!crashes.isEmpty()) {
            onLoop(() -> {
                fleet.returnCrashes(crashes);
                return ImmutableMap.of();
            });
        }
    }

    private void noteFailure(String controlVm, Exception cause) {
        if (!failing) {
            failing = true;
            events.write(LogEvent.VIEW_PULL_FAILED, controlVm, cause);
        }
    }

    private <T> T onLoop(java.util.concurrent.Callable<T> task) throws InterruptedException {
        try {
            return loop.loop().submit(task).get(FleetTimings.PULL_TIMEOUT_MS * 10L, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IllegalStateException("the event loop did not answer: " + e, e);
        }
    }

    @Override
    public void close() {
        worker.interrupt();
    }
}
