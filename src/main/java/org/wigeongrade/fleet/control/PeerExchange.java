package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.thrift.TException;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.fleet.FleetClient;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.thrift.ExchangeReply;
import org.wigeongrade.fleet.thrift.ExchangeRequest;
import org.wigeongrade.fleet.thrift.HeartbeatRecord;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Relays the heartbeats that arrived at this node to one other control VM, on a dedicated thread, and learns which
 * control VMs the peer knows.
 *
 * <p>Invariant: heartbeats of a failed exchange are sent again in the next one. Thread safe.
 */
final class PeerExchange implements AutoCloseable {
    /** Delay before sending to a leader, in milliseconds, so that heartbeats that arrive together form one batch. */
    private static final long BATCH_DELAY_MS = 15;
    /** Pause before the next attempt if the peer does not reply, in milliseconds. */
    private static final long RETRY_PAUSE_MS = 500;

    private final String self;
    private final String peer;
    private final ControlDirectory directory;
    private final PeerFormats peerFormats;
    private final VmRegistry registry;
    private final BooleanSupplier peerLeads;
    private final Consumer<List<String>> onControlVmsLearned;
    private final EventLog events;
    private final WaitClock waitClock;
    private final HeartbeatRelay.PendingVms pending = new HeartbeatRelay.PendingVms();
    private final FleetClient client;
    private final Thread worker;
    private long unreachableSinceNanos;
    private boolean reachable = true;

    /** @param peerLeads whether the peer is the leader, which must get heartbeats without delay */
    PeerExchange(
            String self,
            String peer,
            ControlDirectory directory,
            PeerFormats peerFormats,
            VmRegistry registry,
            BooleanSupplier peerLeads,
            Consumer<List<String>> onControlVmsLearned,
            EventLog events,
            WaitClock waitClock) {
        this.self = self;
        this.peer = peer;
        this.directory = directory;
        this.peerFormats = peerFormats;
        this.registry = registry;
        this.peerLeads = peerLeads;
        this.onControlVmsLearned = onControlVmsLearned;
        this.events = events;
        this.waitClock = waitClock;
        this.client = new FleetClient(directory.fleetAddress(peer), FleetTimings.EXCHANGE_TIMEOUT_MS);
        this.worker = new Thread(this::run, "exchange-" + peer);
        worker.setDaemon(true);
    }

    void start() {
        worker.start();
    }

    void enqueue(VmName vm) {
        pending.add(vm);
    }

    private void run() {
        try {
            while (true) {
                final ImmutableSet<VmName> vms = awaitPending();
                if (!send(vms)) {
                    vms.forEach(pending::add);
                    Thread.sleep(RETRY_PAUSE_MS);
                }
            }
        } catch (InterruptedException e) {
            client.close();
        }
    }

    private ImmutableSet<VmName> awaitPending() throws InterruptedException {
        if (!peerLeads.getAsBoolean()) {
            Thread.sleep(FleetTimings.EXCHANGE_INTERVAL_MS);
            return pending.drain();
        }
        final ImmutableSet<VmName> first = pending.awaitAndDrain(FleetTimings.EXCHANGE_INTERVAL_MS);
        Thread.sleep(BATCH_DELAY_MS);
        return ImmutableSet.<VmName>builder()
                .addAll(first)
                .addAll(pending.drain())
                .build();
    }

    private boolean send(ImmutableSet<VmName> vms) {
        final long nowNanos = waitClock.nowNanos();
        final List<HeartbeatRecord> heartbeats = vms.stream()
                .flatMap(vm -> registry.reportsOf(vm).stream())
                .map(vm -> HeartbeatCodec.encode(vm, nowNanos))
                .toList();
        final ExchangeRequest request = new ExchangeRequest(self, List.copyOf(directory.controlVmIps()), heartbeats)
                .setCommandFormat(CommandFormat.LATEST);
        try {
            final ExchangeReply reply = client.call(thriftClient -> thriftClient.exchange(request));
            recordReachable(nowNanos);
            peerFormats.record(NodeName.of(peer), reply.isSetCommandFormat(), reply.getCommandFormat());
            onControlVmsLearned.accept(reply.getControlVms());
            return true;
        } catch (TException e) {
            recordUnreachable(nowNanos, e);
            return false;
        }
    }

    private void recordReachable(long nowNanos) {
        if (!reachable) {
            reachable = true;
            events.write(
                    LogEvent.PEER_RECONNECTED, peer, TimeUnit.NANOSECONDS.toMillis(nowNanos - unreachableSinceNanos));
        }
    }

    private void recordUnreachable(long nowNanos, TException cause) {
        if (reachable) {
            reachable = false;
            unreachableSinceNanos = nowNanos;
            events.write(LogEvent.PEER_CALL_FAILED, "exchange", peer, cause);
        }
    }

    @Override
    public void close() {
        worker.interrupt();
    }
}
