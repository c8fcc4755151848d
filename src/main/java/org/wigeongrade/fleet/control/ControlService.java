package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableSet;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.discovery.HeartbeatOutcome;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.decisions.published.ConfirmedView;
import org.wigeongrade.decisions.published.PublishedState;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.decisions.published.ViewConfirmations;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.fleet.thrift.EncodedDocument;
import org.wigeongrade.fleet.thrift.ExchangeReply;
import org.wigeongrade.fleet.thrift.ExchangeRequest;
import org.wigeongrade.fleet.thrift.FleetService;
import org.wigeongrade.fleet.thrift.HeartbeatRecord;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.fleet.thrift.PullRequest;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.fleet.thrift.ViewConfirmation;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.nodes.log.RaftReplicatedLog;

/**
 * Serves calls from other nodes.
 *
 * <p>Invariant: a reply to a pull says that this node leads only if the lease was held before and after the state was
 * read. Such a reply contains every change that was accepted before the pull was sent. Thread safe; stateless.
 */
final class ControlService implements FleetService.Iface {
    private static final System.Logger LOGGER = System.getLogger(ControlService.class.getName());

    private final RaftReplicatedLog log;
    private final PublishedStateMachine stateMachine;
    private final DocumentHistory documentHistory;
    private final VmRegistry registry;
    private final HeartbeatIntake heartbeats;
    private final ControlDirectory directory;
    private final PeerFormats peerFormats;
    private final Supplier<Optional<LeaderTerm>> leaderTerm;
    private final ViewConfirmations viewConfirmations;
    private final Consumer<List<String>> onControlVmsLearned;
    private final Runnable requestPlanning;
    private final EventLog events;
    private final WaitClock waitClock;

    ControlService(
            RaftReplicatedLog log,
            PublishedStateMachine stateMachine,
            DocumentHistory documentHistory,
            VmRegistry registry,
            HeartbeatIntake heartbeats,
            ControlDirectory directory,
            PeerFormats peerFormats,
            Supplier<Optional<LeaderTerm>> leaderTerm,
            ViewConfirmations viewConfirmations,
            Consumer<List<String>> onControlVmsLearned,
            Runnable requestPlanning,
            EventLog events,
            WaitClock waitClock) {
        this.log = log;
        this.stateMachine = stateMachine;
        this.documentHistory = documentHistory;
        this.registry = registry;
        this.heartbeats = heartbeats;
        this.directory = directory;
        this.peerFormats = peerFormats;
        this.leaderTerm = leaderTerm;
        this.viewConfirmations = viewConfirmations;
        this.onControlVmsLearned = onControlVmsLearned;
        this.requestPlanning = requestPlanning;
        this.events = events;
        this.waitClock = waitClock;
    }

    @Override
    public PullReply pull(PullRequest request) {
        final PullReply reply = new PullReply()
                .setLeader(log.leader().map(NodeName::value).orElse(""))
                .setControlVms(List.copyOf(directory.controlVmIps()))
                .setChanged(new ArrayList<>())
                .setRemoved(new ArrayList<>());
        final Optional<LeaderTerm> term = leaderTerm.get();
        if (term.isEmpty()) {
            return reply;
        }
        recordView(request.getNode(), request.getConfigurationVersion(), Optional.ofNullable(request.getZonesOut()));
        final boolean ledBefore = log.isLeaderWithLease();
        final PublishedState state = stateMachine.state();
        writeState(state, request, reply);
        recordLeaving(request.getUsage());
        term.get().handlePull(request, reply, waitClock.nowNanos());
        return reply.setTakesConfirmations(true).setLeads(ledBefore && log.isLeaderWithLease());
    }

    @Override
    public void confirm(ViewConfirmation confirmation) {
        recordView(
                confirmation.getNode(),
                confirmation.getConfigurationVersion(),
                Optional.of(confirmation.getZonesOut()));
    }

    private void recordView(String node, long version, Optional<List<String>> zonesOut) {
        viewConfirmations.record(
                NodeName.of(node),
                new ConfirmedView(
                        version,
                        zonesOut.map(zones ->
                                zones.stream().map(AvailabilityZone::of).collect(ImmutableSet.toImmutableSet()))),
                waitClock.nowNanos());
    }

    /** Notes the endpoints that told an entry node that they leave, so that the next step replaces them. */
    private void recordLeaving(List<UsageRecord> usage) {
        boolean news = false;
        for (final UsageRecord record : usage) {
            final VmIncarnation vm = new VmIncarnation(VmName.of(record.getVm()), record.getIncarnation());
            if (record.isLeaving() && registry.markLeaving(vm)) {
                events.write(LogEvent.ENDPOINT_LEAVING, vm);
                news = true;
            }
        }
        if (news) {
            requestPlanning.run();
        }
    }

    @Override
    public ExchangeReply exchange(ExchangeRequest request) {
        peerFormats.record(NodeName.of(request.getSender()), request.isSetCommandFormat(), request.getCommandFormat());
        onControlVmsLearned.accept(List.of(request.getSender()));
        onControlVmsLearned.accept(request.getControlVms());
        final long nowNanos = waitClock.nowNanos();
        request.getHeartbeats().forEach(heartbeat -> applyHeartbeat(heartbeat, nowNanos));
        if (!request.getHeartbeats().isEmpty()) {
            requestPlanning.run();
        }
        return new ExchangeReply(List.copyOf(directory.controlVmIps())).setCommandFormat(CommandFormat.LATEST);
    }

    private void applyHeartbeat(HeartbeatRecord heartbeat, long nowNanos) {
        try {
            final HeartbeatOutcome unused = heartbeats.record(
                    HeartbeatCodec.decode(heartbeat), nowNanos - TimeUnit.MILLISECONDS.toNanos(heartbeat.getAgeMs()));
            final VmIncarnation vm = new VmIncarnation(VmName.of(heartbeat.getVm()), heartbeat.getIncarnation());
            // The departure of a contested process says nothing of the known one of its name.
            if (heartbeat.isDeparted()
                    && registry.find(vm.vm())
                            .map(VmRecord::vm)
                            .filter(vm::equals)
                            .isPresent()) {
                registry.markDeparted(vm);
            }
        } catch (IllegalArgumentException e) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    "dropped a heartbeat relayed by another control VM: " + e.getMessage());
        }
    }

    private void writeState(PublishedState state, PullRequest request, PullReply reply) {
        reply.setConfigurationVersion(state.version())
                .setZonesOut(
                        state.zonesOut().stream().map(AvailabilityZone::value).toList());
        if (state.version() <= request.getConfigurationVersion()) {
            return;
        }
        final Optional<EncodedDocument> encoded = request.isSetDocumentVersion()
                ? documentHistory.encode(state.version(), request.getDocumentVersion())
                : Optional.empty();
        if (encoded.isPresent()) {
            reply.setEncodedDocument(encoded.get());
        } else {
            state.document().ifPresent(document -> reply.setDocument(ByteBuffer.wrap(document)));
        }
    }
}
