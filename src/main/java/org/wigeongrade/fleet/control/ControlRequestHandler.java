package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.discovery.ConflictVerdict;
import org.wigeongrade.decisions.discovery.HeartbeatOutcome;
import org.wigeongrade.decisions.discovery.ProcessKey;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.discovery.VmWithdrawal;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.decisions.published.PublishOutcome;
import org.wigeongrade.decisions.published.PublishedChecker;
import org.wigeongrade.decisions.published.PublishedCommand;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedFault;
import org.wigeongrade.decisions.published.PublishedState;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.decisions.published.ViewChange;
import org.wigeongrade.decisions.published.ViewConfirmations;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.log.RaftReplicatedLog;

/**
 * Handles requests of operators and endpoint VMs at one control node.
 *
 * <p>Invariants: a change, and a VM's statement that it leaves, is accepted only once it is on enough disks; the latter
 * waits for the disks only if the log may hold {@link CommandFormat#WITHDRAWALS}. An operator's change is accepted only
 * once the entry nodes that can be heard have it in force, or after a time limit. A read is answered only by a leader that
 * held its lease before the state was read, so that the response is complete, and after, so that it is never older than
 * an accepted change. Thread safe; holds no lock of its own.
 */
public final class ControlRequestHandler {
    private final NodeName self;
    private final RaftReplicatedLog log;
    private final PublishedStateMachine stateMachine;
    private final VmRegistry registry;
    private final HeartbeatIntake heartbeats;
    private final ConflictInvestigator conflicts;
    private final ControlDirectory directory;
    private final DocumentReader reader;
    private final HeartbeatRelay heartbeatRelay;
    private final Runnable requestPlanning;
    private final Function<ViewChange, CompletableFuture<ViewConfirmations.Outcome>> awaitInForce;
    private final IntSupplier requiredVoters;
    private final EventLog events;
    private final WaitClock waitClock;

    /**
     * @param requestPlanning called when a VM appears, changes group or leaves, so that the leader plans soon
     * @param awaitInForce returns a future that completes once the entry nodes have a stored change in force, or after a
     *     time limit, and that fails if this node stops leading before
     */
    ControlRequestHandler(
            NodeName self,
            RaftReplicatedLog log,
            PublishedStateMachine stateMachine,
            VmRegistry registry,
            HeartbeatIntake heartbeats,
            ConflictInvestigator conflicts,
            ControlDirectory directory,
            DocumentReader reader,
            HeartbeatRelay heartbeatRelay,
            Runnable requestPlanning,
            Function<ViewChange, CompletableFuture<ViewConfirmations.Outcome>> awaitInForce,
            IntSupplier requiredVoters,
            EventLog events,
            WaitClock waitClock) {
        this.self = self;
        this.log = log;
        this.stateMachine = stateMachine;
        this.registry = registry;
        this.heartbeats = heartbeats;
        this.conflicts = conflicts;
        this.directory = directory;
        this.reader = reader;
        this.heartbeatRelay = heartbeatRelay;
        this.requestPlanning = requestPlanning;
        this.awaitInForce = awaitInForce;
        this.requiredVoters = requiredVoters;
        this.events = events;
        this.waitClock = waitClock;
    }

    /**
     * Records a heartbeat. One that is outdated or for an unknown service changes nothing but gets the same response, even if
     * it says that its VM leaves.
     */
    public CompletableFuture<ControlResponse> handleHeartbeat(VmHeartbeat heartbeat) {
        final Optional<VmRecord> previous = registry.find(heartbeat.vm().vm());
        final HeartbeatOutcome outcome = heartbeats.record(heartbeat, waitClock.nowNanos());
        if (outcome == HeartbeatOutcome.RECORDED) {
            handleVmChange(previous, heartbeat);
        }
        if (outcome != HeartbeatOutcome.IGNORED) {
            heartbeatRelay.notifyListeners(heartbeat.vm().vm());
        }
        final ControlResponse accepted = new ControlResponse.HeartbeatAccepted(otherLeaderAddress());
        if (heartbeat.draining() && outcome == HeartbeatOutcome.CONTESTED) {
            return CompletableFuture.completedFuture(respondToContestedLeave(heartbeat, accepted));
        }
        if (!heartbeat.draining()
                || !registry.isOfKnownProcess(heartbeat)
                || stateMachine.state().isWithdrawn(heartbeat)) {
            return CompletableFuture.completedFuture(accepted);
        }
        return afterEarlierProcess(
                heartbeat.vm(), accepted, () -> withdraw(VmWithdrawal.draining(heartbeat), accepted));
    }

    /**
     * Responds to a VM that says that it leaves, but contradicts a known VM. It sends this again, and is acknowledged once it
     * is recorded; another writer is acknowledged without effect.
     */
    private ControlResponse respondToContestedLeave(VmHeartbeat heartbeat, ControlResponse accepted) {
        if (!log.isLeaderWithLease()) {
            return redirectOrUnavailable();
        }
        final boolean refuted = registry.verdictOn(heartbeat)
                .filter(ConflictVerdict.REFUTED::equals)
                .isPresent();
        return refuted
                ? accepted
                : new ControlResponse.Unavailable("it is not known yet whether " + heartbeat.vm() + " is at "
                        + heartbeat.address() + "; send the heartbeat again");
    }

    /**
     * Records that a VM leaves permanently.
     *
     * @param incarnation the incarnation that leaves; if absent, the latest one that is known
     */
    public CompletableFuture<ControlResponse> deregister(VmName vm, OptionalLong incarnation) {
        final Optional<VmIncarnation> leaving = incarnation.isPresent()
                ? Optional.of(new VmIncarnation(vm, incarnation.getAsLong()))
                : registry.find(vm).map(VmRecord::vm);
        if (leaving.isEmpty()) {
            // The leader may know the VM already; a VM that the leader does not know is not used.
            return CompletableFuture.completedFuture(
                    log.isLeaderWithLease() ? new ControlResponse.Accepted() : redirectOrUnavailable());
        }
        final VmWithdrawal withdrawal = VmWithdrawal.deregistered(leaving.get());
        return afterEarlierProcess(leaving.get(), new ControlResponse.Accepted(), () -> handleDeparture(withdrawal));
    }

    private CompletableFuture<ControlResponse> handleDeparture(VmWithdrawal withdrawal) {
        registry.markDeparted(withdrawal.vm());
        events.write(LogEvent.ENDPOINT_LEAVING, withdrawal.vm());
        heartbeatRelay.notifyListeners(withdrawal.vm().vm());
        requestPlanning.run();
        return withdraw(withdrawal, new ControlResponse.Accepted());
    }

    /**
     * Stores a withdrawal only once no earlier process of the VM's name goes on, which it would include. If one was known, its
     * address is asked first; another writer is acknowledged without effect.
     */
    private CompletableFuture<ControlResponse> afterEarlierProcess(
            VmIncarnation leaving, ControlResponse accepted, Supplier<CompletableFuture<ControlResponse>> withdrawal) {
        final Optional<ProcessKey> earlier = earlierProcess(leaving);
        if (earlier.isEmpty()) {
            return withdrawal.get();
        }
        if (!log.isLeaderWithLease()) {
            return CompletableFuture.completedFuture(redirectOrUnavailable());
        }
        final VmIncarnation known = earlier.get().vm();
        return conflicts.ask(earlier.get()).thenCompose(response -> {
            if (response.excludes(known)) {
                registry.markEnded(known);
                return withdrawal.get();
            }
            return CompletableFuture.completedFuture(
                    response.shows(known)
                            ? accepted
                            : new ControlResponse.Unavailable(
                                    "it is not known yet whether " + known + " has ended; send the call again"));
        });
    }

    /** Returns an earlier process of the VM's name that may go on: the one that was heard, or that the log holds in a group. */
    private Optional<ProcessKey> earlierProcess(VmIncarnation vm) {
        final Optional<VmRecord> known = registry.find(vm.vm());
        if (known.filter(record -> record.vm().equals(vm) && record.confirmed()).isPresent()) {
            return Optional.empty();
        }
        final Stream<ProcessKey> heard =
                known.filter(record -> !record.ended()).map(VmRecord::heartbeat).map(ProcessKey::of).stream();
        final Stream<ProcessKey> recorded = stateMachine.state().groups().all().stream()
                .flatMap(group -> group.members().stream()
                        .filter(member -> member.vm().vm().equals(vm.vm()))
                        .map(member -> new ProcessKey(member.vm(), group.service(), member.address())));
        return Stream.concat(heard, recorded)
                .filter(process -> process.vm().incarnation() < vm.incarnation())
                .findFirst();
    }

    /** Stores that a VM leaves; the response is {@code accepted} once every later leader knows it. */
    private CompletableFuture<ControlResponse> withdraw(VmWithdrawal withdrawal, ControlResponse accepted) {
        final PublishedState state = stateMachine.state();
        if (state.isWithdrawn(withdrawal)) {
            return CompletableFuture.completedFuture(accepted);
        }
        if (state.format() < CommandFormat.WITHDRAWALS) {
            logWithdrawal(withdrawal, "in memory only");
            return CompletableFuture.completedFuture(accepted);
        }
        return submit(
                        new PublishedCommand.Withdraw(withdrawal),
                        outcome -> accepted,
                        failure -> logWithdrawal(withdrawal, "outcome unknown: " + failure.getMessage()))
                .whenComplete((response, failure) -> {
                    logWithdrawal(withdrawal, response == accepted ? "stored" : "not acknowledged: " + response);
                    requestPlanning.run();
                });
    }

    private void logWithdrawal(VmWithdrawal withdrawal, String outcome) {
        events.write(LogEvent.ENDPOINT_WITHDRAWAL, withdrawal.vm(), withdrawal.lastSequence(), outcome);
    }

    /** Validates and publishes a configuration. */
    public CompletableFuture<ControlResponse> publish(byte[] document) {
        final PublishedConfiguration configuration;
        try {
            configuration = reader.read(document);
        } catch (WigeongradeException e) {
            return reject(0, ImmutableList.of(e.getMessage()));
        }
        final List<PublishedFault> errors = PublishedChecker.check(configuration);
        if (!errors.isEmpty()) {
            return reject(
                    configuration.version(),
                    errors.stream().map(PublishedFault::toString).toList());
        }
        final long version = configuration.version();
        final PublishedCommand command = new PublishedCommand.Publish(version, Bytes.wrap(document));
        final int commandBytes = command.encode().length;
        if (commandBytes > RaftReplicatedLog.MAX_COMMAND_BYTES) {
            return reject(
                    version,
                    ImmutableList.of("the configuration takes " + commandBytes + " bytes in the log, more than "
                            + RaftReplicatedLog.MAX_COMMAND_BYTES + "; publish fewer routes or organisations"));
        }
        return submit(
                        command,
                        outcome -> responseToPublish(version, outcome),
                        failure -> logUnknownOutcome(version, failure))
                .thenCompose(response -> afterInForce(response, new ViewChange.Configuration(version)));
    }

    /** Takes an availability zone out of service or puts it back. */
    public CompletableFuture<ControlResponse> setZone(AvailabilityZone zone, boolean out) {
        return submit(
                        new PublishedCommand.SetZone(zone, out),
                        outcome -> new ControlResponse.Accepted(),
                        failure -> logUnknownOutcome(stateMachine.state().version(), failure))
                .thenCompose(response -> afterInForce(response, new ViewChange.ZoneState(zone, out)))
                .whenComplete((response, failure) -> {
                    if (response instanceof ControlResponse.Accepted) {
                        events.write(
                                out ? LogEvent.ZONE_OUT : LogEvent.ZONE_IN,
                                zone,
                                stateMachine.state().version(),
                                "platform");
                    }
                });
    }

    /** Returns the newest configuration if this node leads. */
    public ControlResponse readConfiguration() {
        final boolean ledBefore = log.isLeaderWithLease();
        final PublishedState state = stateMachine.state();
        if (!ledBefore || !log.isLeaderWithLease()) {
            return redirectOrUnavailable();
        }
        return state.document()
                .map(Bytes::wrap)
                .<ControlResponse>map(ControlResponse.Document::new)
                .orElseGet(ControlResponse.NotPublished::new);
    }

    private CompletableFuture<ControlResponse> submit(
            PublishedCommand command,
            Function<PublishOutcome, ControlResponse> responseTo,
            Consumer<Throwable> onUnknownOutcome) {
        if (!log.isLeaderWithLease()) {
            return CompletableFuture.completedFuture(redirectOrUnavailable());
        }
        final int voters = log.membership().incarnations().size();
        if (voters < requiredVoters.getAsInt()) {
            return CompletableFuture.completedFuture(new ControlResponse.Unavailable(
                    voters + " control VMs are voters, but " + requiredVoters.getAsInt() + " are required; try again"));
        }
        return log.submit(command.encode()).handle((result, failure) -> {
            if (failure != null) {
                onUnknownOutcome.accept(failure);
                return new ControlResponse.Unavailable("the change may or may not have taken effect; send it again");
            }
            return responseTo.apply(PublishedStateMachine.decodeOutcome(result));
        });
    }

    private ControlResponse responseToPublish(long version, PublishOutcome outcome) {
        if (outcome == PublishOutcome.VERSION_TAKEN) {
            final String message =
                    "version " + version + " is already in force with different content; use a higher version";
            events.write(LogEvent.CONFIGURATION_REFUSED, version, self, "version_taken", message);
            return new ControlResponse.Conflict(message);
        }
        events.write(LogEvent.CONFIGURATION_APPLIED, version, self, outcome);
        return new ControlResponse.Accepted();
    }

    /**
     * Delays the acknowledgement of a stored change until the entry nodes have it in force: they could not learn it later
     * if all control VMs ended now.
     */
    private CompletableFuture<ControlResponse> afterInForce(ControlResponse response, ViewChange change) {
        if (!(response instanceof ControlResponse.Accepted)) {
            return CompletableFuture.completedFuture(response);
        }
        return awaitInForce.apply(change).handle((outcome, failure) -> {
            if (failure == null) {
                return response;
            }
            logUnknownOutcome(stateMachine.state().version(), failure);
            return new ControlResponse.Unavailable("the change is stored but may not be in force yet; send it again");
        });
    }

    private void logUnknownOutcome(long version, Throwable failure) {
        events.write(LogEvent.CONFIGURATION_REFUSED, version, self, "outcome_unknown", failure.getMessage());
    }

    private CompletableFuture<ControlResponse> reject(long version, List<String> errors) {
        events.write(LogEvent.CONFIGURATION_REFUSED, version, self, "invalid_configuration", errors);
        return CompletableFuture.completedFuture(new ControlResponse.Invalid(errors));
    }

    private ControlResponse redirectOrUnavailable() {
        return otherLeaderAddress()
                .<ControlResponse>map(ControlResponse.RedirectToLeader::new)
                .orElseGet(() -> new ControlResponse.Unavailable("no leader is known; try again"));
    }

    private Optional<InetSocketAddress> otherLeaderAddress() {
        return log.leader()
                .filter(leader -> !leader.equals(self))
                .map(leader -> directory.controlAddress(leader.value()));
    }

    private void handleVmChange(Optional<VmRecord> previous, VmHeartbeat heartbeat) {
        final boolean sameIncarnation =
                previous.filter(vm -> vm.vm().equals(heartbeat.vm())).isPresent();
        if (!sameIncarnation) {
            events.write(
                    LogEvent.ENDPOINT_ANNOUNCED,
                    heartbeat.vm().vm(),
                    heartbeat.vm().incarnation());
        }
        final boolean wasDraining =
                sameIncarnation && previous.orElseThrow().heartbeat().draining();
        if (heartbeat.draining() && !wasDraining) {
            events.write(LogEvent.ENDPOINT_LEAVING, heartbeat.vm());
        }
        final boolean sameGroup =
                sameIncarnation && previous.orElseThrow().heartbeat().group().equals(heartbeat.group());
        if (!sameGroup || heartbeat.draining() != wasDraining) {
            requestPlanning.run();
        }
    }
}
