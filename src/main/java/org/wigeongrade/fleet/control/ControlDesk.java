package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.published.PublishOutcome;
import org.wigeongrade.decisions.published.PublishedChecker;
import org.wigeongrade.decisions.published.PublishedCommand;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedFault;
import org.wigeongrade.decisions.published.PublishedState;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.log.RaftReplicatedLog;

/**
 * Answers operators and endpoint VMs at one control node.
 *
 * <p>Invariants: a change is accepted only once it lies on enough disks; a read is answered only by a leader whose lease
 * held before the state was read, so that it is complete, and after, so that it is never older than an accepted change.
 * Thread safe; holds no lock of its own.
 */
public final class ControlDesk {
    private final NodeName self;
    private final RaftReplicatedLog log;
    private final PublishedStateMachine machine;
    private final VmRegistry registry;
    private final ControlDirectory directory;
    private final DocumentReader reader;
    private final RelayQueue relay;
    private final Runnable onNews;
    private final IntSupplier votersNeeded;
    private final EventLog events;
    private final LongSupplier nanoClock;

    /** @param onNews is told when a VM changed its group or leaves, so that the leader plans soon */
    ControlDesk(
            NodeName self,
            RaftReplicatedLog log,
            PublishedStateMachine machine,
            VmRegistry registry,
            ControlDirectory directory,
            DocumentReader reader,
            RelayQueue relay,
            Runnable onNews,
            IntSupplier votersNeeded,
            EventLog events,
            LongSupplier nanoClock) {
        this.self = self;
        this.log = log;
        this.machine = machine;
        this.registry = registry;
        this.directory = directory;
        this.reader = reader;
        this.relay = relay;
        this.onNews = onNews;
        this.votersNeeded = votersNeeded;
        this.events = events;
        this.nanoClock = nanoClock;
    }

    /** Takes a heartbeat; a late one is answered, too, and changes nothing. */
    public DeskAnswer hear(VmHeartbeat heartbeat) {
        final Optional<VmRecord> known = registry.find(heartbeat.vm().vm());
        if (registry.hear(heartbeat, nanoClock.getAsLong())) {
            noteChange(known, heartbeat);
            relay.add(heartbeat.vm().vm());
        }
        return new DeskAnswer.Heard(leaderElsewhere());
    }

    /** Takes the news that a VM leaves for good. */
    public DeskAnswer depart(VmName vm) {
        registry.depart(vm);
        events.write(LogEvent.ENDPOINT_LEAVING, vm);
        relay.add(vm);
        onNews.run();
        return new DeskAnswer.Accepted();
    }

    /** Checks and publishes a configuration. */
    public CompletableFuture<DeskAnswer> publish(byte[] document) {
        final PublishedConfiguration configuration;
        try {
            configuration = reader.read(document);
        } catch (WigeongradeException e) {
            return refused(0, ImmutableList.of(e.getMessage()));
        }
        final List<PublishedFault> faults = PublishedChecker.check(configuration);
        if (!faults.isEmpty()) {
            return refused(
                    configuration.version(),
                    faults.stream().map(PublishedFault::toString).toList());
        }
        return submit(
                new PublishedCommand.Publish(configuration.version(), Bytes.wrap(document)), configuration.version());
    }

    /** Takes an availability zone out or brings it in. */
    public CompletableFuture<DeskAnswer> setZone(AvailabilityZone zone, boolean out) {
        return submit(new PublishedCommand.SetZone(zone, out), machine.state().version())
                .whenComplete((answer, failure) -> {
                    if (answer instanceof DeskAnswer.Accepted) {
                        events.write(
                                out ? LogEvent.ZONE_OUT : LogEvent.ZONE_IN,
                                zone,
                                machine.state().version(),
                                "platform");
                    }
                });
    }

    /** Returns the newest configuration. */
    public DeskAnswer read() {
        final boolean ledBefore = log.leadsWithLease();
        final PublishedState state = machine.state();
        if (!ledBefore || !log.leadsWithLease()) {
            return elsewhereOrUnavailable();
        }
        return state.document()
                .map(Bytes::wrap)
                .<DeskAnswer>map(DeskAnswer.Document::new)
                .orElseGet(DeskAnswer.Nothing::new);
    }

    private CompletableFuture<DeskAnswer> submit(PublishedCommand command, long version) {
        if (!log.leadsWithLease()) {
            return CompletableFuture.completedFuture(elsewhereOrUnavailable());
        }
        final int voters = log.membership().incarnations().size();
        if (voters < votersNeeded.getAsInt()) {
            return CompletableFuture.completedFuture(new DeskAnswer.Unavailable(
                    voters + " control VMs vote, " + votersNeeded.getAsInt() + " are needed; try again"));
        }
        return log.submit(command.encode()).handle((result, failure) -> {
            if (failure != null) {
                events.write(LogEvent.CONFIGURATION_REFUSED, version, self, "outcome_unknown", failure.getMessage());
                return new DeskAnswer.Unavailable("the change may or may not have taken effect; send it again");
            }
            return answerOf(command, version, PublishedStateMachine.outcome(result));
        });
    }

    private DeskAnswer answerOf(PublishedCommand command, long version, PublishOutcome outcome) {
        if (outcome == PublishOutcome.VERSION_TAKEN) {
            final String message = "version " + version + " is in force with another content; use a higher version";
            events.write(LogEvent.CONFIGURATION_REFUSED, version, self, "version_taken", message);
            return new DeskAnswer.Conflict(message);
        }
        if (command instanceof PublishedCommand.Publish) {
            events.write(LogEvent.CONFIGURATION_APPLIED, version, self, outcome);
        }
        return new DeskAnswer.Accepted();
    }

    private CompletableFuture<DeskAnswer> refused(long version, List<String> faults) {
        events.write(LogEvent.CONFIGURATION_REFUSED, version, self, "invalid_configuration", faults);
        return CompletableFuture.completedFuture(new DeskAnswer.Invalid(faults));
    }

    private DeskAnswer elsewhereOrUnavailable() {
        return leaderElsewhere()
                .<DeskAnswer>map(DeskAnswer.Elsewhere::new)
                .orElseGet(() -> new DeskAnswer.Unavailable("no leader is known; try again"));
    }

    private Optional<InetSocketAddress> leaderElsewhere() {
        return log.leader()
                .filter(leader -> !leader.equals(self))
                .map(leader -> directory.controlAddress(leader.value()));
    }

    private void noteChange(Optional<VmRecord> known, VmHeartbeat heartbeat) {
        final boolean sameLife =
                known.filter(vm -> vm.vm().equals(heartbeat.vm())).isPresent();
        if (!sameLife) {
            events.write(
                    LogEvent.ENDPOINT_ANNOUNCED,
                    heartbeat.vm().vm(),
                    heartbeat.vm().incarnation());
        }
        final boolean wasDraining = sameLife && known.orElseThrow().heartbeat().draining();
        if (heartbeat.draining() && !wasDraining) {
            events.write(LogEvent.ENDPOINT_LEAVING, heartbeat.vm());
        }
        final boolean sameGroup =
                sameLife && known.orElseThrow().heartbeat().group().equals(heartbeat.group());
        if (!sameGroup || heartbeat.draining() != wasDraining) {
            onNews.run();
        }
    }
}
