package org.wigeongrade.bench;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.primitives.Longs;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.wigeongrade.clock.SuspendAwareClock;
import org.wigeongrade.decisions.log.CoreSettings;
import org.wigeongrade.decisions.log.LogTimings;
import org.wigeongrade.disk.FileOperations;
import org.wigeongrade.disk.LogStore;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.log.RaftReplicatedLog;
import org.wigeongrade.nodes.log.ReplicatedStateMachine;

/** Three replicas in one process that use Thrift over loopback and real files. Not thread-safe. */
final class LogBenchCluster implements AutoCloseable {
    private static final int VOTERS = 3;
    private static final long WAIT_TIMEOUT_S = 30;
    private static final long COMPACT_AFTER_ENTRIES = 10_500;

    private final Path folder;
    private final Map<NodeName, InetSocketAddress> addresses = new TreeMap<>();
    private final Map<NodeName, RaftReplicatedLog> logs = new TreeMap<>();
    private final Map<NodeName, IsolatableTransport> transports = new TreeMap<>();

    LogBenchCluster(Path folder) throws IOException {
        this.folder = folder;
        for (int i = 1; i <= VOTERS; i++) {
            addresses.put(NodeName.of("control-" + i), freeAddress());
        }
        startAll();
    }

    void startAll() {
        addresses.keySet().stream().filter(name -> !logs.containsKey(name)).forEach(this::start);
    }

    void stopAll() {
        logs.values().forEach(RaftReplicatedLog::close);
        logs.clear();
    }

    /** Stops a replica; a leader transfers its leadership as it stops. */
    void stop(NodeName name) {
        logs.remove(name).close();
    }

    /** Silently drops all messages to and from a replica, which keeps running. */
    void isolate(NodeName name) {
        transports.get(name).setIsolated(true);
    }

    void reconnect(NodeName name) {
        transports.get(name).setIsolated(false);
    }

    /** Waits until a replica leads with a valid lease, so that it may serve, and returns its name. */
    NodeName awaitLeader() {
        await(() -> leader().isPresent());
        return leader().orElseThrow();
    }

    RaftReplicatedLog log(NodeName name) {
        return logs.get(name);
    }

    /** Waits until every running replica has applied all entries that the leader has applied by now. */
    void awaitAllApplied() {
        long index = log(awaitLeader()).appliedIndex();
        await(() -> logs.values().stream().allMatch(log -> log.appliedIndex() >= index));
    }

    long sentMessageCount(NodeName name) {
        return transports.get(name).sentMessages();
    }

    long logSizeBytes(NodeName name) throws IOException {
        return Files.size(dataFolder(name).resolve("log"));
    }

    Path dataFolder(NodeName name) {
        return folder.resolve(name.value());
    }

    private Optional<NodeName> leader() {
        return logs.entrySet().stream()
                .filter(entry -> !transports.get(entry.getKey()).isIsolated())
                .filter(entry -> entry.getValue().isLeaderWithLease())
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private void start(NodeName name) {
        Map<NodeName, InetSocketAddress> peers = new TreeMap<>(addresses);
        peers.remove(name);
        SecureRandom random = new SecureRandom();
        IsolatableTransport transport = new IsolatableTransport(name, addresses.get(name), peers);
        RaftReplicatedLog log = new RaftReplicatedLog(
                CoreSettings.configured(name, ImmutableSortedSet.copyOf(addresses.keySet()), LogTimings.DEFAULT),
                LogStore.open(dataFolder(name), FileOperations.SYSTEM, random::nextLong),
                transport,
                new CommandCounter(),
                System::nanoTime,
                new SuspendAwareClock(),
                random,
                COMPACT_AFTER_ENTRIES,
                failure -> {});
        transport.setReceiver(log::receive);
        transports.put(name, transport);
        logs.put(name, log);
        log.start();
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException(
                        "the replicas did not reach the expected state within " + WAIT_TIMEOUT_S + " s");
            }
            LockSupport.parkNanos(100_000);
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    @Override
    public void close() {
        stopAll();
    }

    /** Counts the commands that it applies. Used by one thread at a time. */
    private static final class CommandCounter implements ReplicatedStateMachine {
        private long count;

        @Override
        public byte[] apply(long index, byte[] command) {
            count++;
            return Longs.toByteArray(count);
        }

        @Override
        public byte[] snapshot() {
            return Longs.toByteArray(count);
        }

        @Override
        public void restore(byte[] snapshot) {
            count = Longs.fromByteArray(snapshot);
        }
    }
}
