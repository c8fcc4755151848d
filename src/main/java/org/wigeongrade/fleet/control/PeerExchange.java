package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.thrift.TException;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.fleet.ControlDirectory;
import org.wigeongrade.fleet.FleetClient;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.thrift.ExchangeReply;
import org.wigeongrade.fleet.thrift.ExchangeRequest;
import org.wigeongrade.fleet.thrift.HeartbeatRecord;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Tells one other control VM which heartbeats were heard here, on a thread of its own, and learns which control VMs it
 * knows.
 *
 * <p>Invariant: what could not be told is told again with the next exchange. Thread safe.
 */
final class PeerExchange implements AutoCloseable {
    /** Pause after hearing something urgent, so that heartbeats that come together travel together, in milliseconds. */
    private static final long GATHER_MS = 15;
    /** Pause between tries at a VM that does not answer, in milliseconds. */
    private static final long RETRY_PAUSE_MS = 500;

    private final String self;
    private final String peer;
    private final ControlDirectory directory;
    private final VmRegistry registry;
    private final BooleanSupplier urgent;
    private final Consumer<List<String>> learned;
    private final EventLog events;
    private final LongSupplier nanoClock;
    private final RelayQueue.Waiting waiting = new RelayQueue.Waiting();
    private final FleetClient client;
    private final Thread worker;
    private long lostSinceNanos;
    private boolean reachable = true;

    /** @param urgent whether the peer leads, so that it must hear of everything at once */
    PeerExchange(
            String self,
            String peer,
            ControlDirectory directory,
            VmRegistry registry,
            BooleanSupplier urgent,
            Consumer<List<String>> learned,
            EventLog events,
            LongSupplier nanoClock) {
        this.self = self;
        this.peer = peer;
        this.directory = directory;
        this.registry = registry;
        this.urgent = urgent;
        this.learned = learned;
        this.events = events;
        this.nanoClock = nanoClock;
        this.client = new FleetClient(directory.fleetAddress(peer), FleetTimings.EXCHANGE_TIMEOUT_MS);
        this.worker = new Thread(this::run, "exchange-" + peer);
        worker.setDaemon(true);
    }

    void start() {
        worker.start();
    }

    void add(VmName vm) {
        waiting.add(vm);
    }

    private void run() {
        try {
            while (true) {
                final ImmutableSet<VmName> vms = next();
                if (!tell(vms)) {
                    vms.forEach(waiting::add);
                    Thread.sleep(RETRY_PAUSE_MS);
                }
            }
        } catch (InterruptedException e) {
            client.close();
        }
    }

    private ImmutableSet<VmName> next() throws InterruptedException {
        if (!urgent.getAsBoolean()) {
            Thread.sleep(FleetTimings.EXCHANGE_INTERVAL_MS);
            return waiting.takeNow();
        }
        final ImmutableSet<VmName> first = waiting.take(FleetTimings.EXCHANGE_INTERVAL_MS);
        Thread.sleep(GATHER_MS);
        return ImmutableSet.<VmName>builder()
                .addAll(first)
                .addAll(waiting.takeNow())
                .build();
    }

    private boolean tell(ImmutableSet<VmName> vms) {
        final long nowNanos = nanoClock.getAsLong();
        final List<HeartbeatRecord> heartbeats = vms.stream()
                .map(registry::find)
                .flatMap(Optional::stream)
                .map(vm -> HeartbeatRecords.encode(vm, nowNanos))
                .toList();
        final ExchangeRequest request = new ExchangeRequest(self, List.copyOf(directory.known()), heartbeats);
        try {
            final ExchangeReply reply = client.call(calls -> calls.exchange(request));
            noteReachable(nowNanos);
            learned.accept(reply.getControlVms());
            return true;
        } catch (TException e) {
            noteLost(nowNanos, e);
            return false;
        }
    }

    private void noteReachable(long nowNanos) {
        if (!reachable) {
            reachable = true;
            events.write(LogEvent.PEER_RECONNECTED, peer, TimeUnit.NANOSECONDS.toMillis(nowNanos - lostSinceNanos));
        }
    }

    private void noteLost(long nowNanos, TException cause) {
        if (reachable) {
            reachable = false;
            lostSinceNanos = nowNanos;
            events.write(LogEvent.PEER_CALL_FAILED, "exchange", peer, cause);
        }
    }

    @Override
    public void close() {
        worker.interrupt();
    }
}
