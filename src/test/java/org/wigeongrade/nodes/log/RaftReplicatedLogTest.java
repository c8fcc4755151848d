package org.wigeongrade.nodes.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeongrade.clock.SuspendAwareClock;
import org.wigeongrade.decisions.log.LogTimings;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.proof.LoopbackPorts;

/** Tests three replicas in one process, with Thrift over loopback and real files. */
final class RaftReplicatedLogTest {
    private static final LogTimings FAST = LogTimings.ofMs(20, 150, 300, 120);
    private static final long COMPACT_AFTER_ENTRIES = 20;

    @TempDir
    Path folder;

    private final Map<NodeName, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Map<NodeName, RaftReplicatedLog> logs = new TreeMap<>();
    private final Map<NodeName, RecordingStateMachine> stateMachines = new TreeMap<>();

    @BeforeEach
    void startAll() {
        for (String name : new String[] {"control-1", "control-2", "control-3"}) {
            addresses.put(NodeName.of(name), freeAddress());
        }
        addresses.keySet().forEach(this::start);
    }

    @AfterEach
    void stopAll() {
        logs.values().forEach(RaftReplicatedLog::close);
    }

    @Test
    void committedCommandsSurviveALeaderStopAndARestartOfAllReplicas() throws Exception {
        submit("a");
        stop(awaitLeader());
        submit("b");
        addresses.keySet().forEach(this::stop);
        addresses.keySet().forEach(this::start);
        submit("c");
        awaitAllApplied("a", "b", "c");
    }

    @Test
    void followersNameTheLeader() throws Exception {
        NodeName leader = awaitLeader();
        NodeName follower = addresses.keySet().stream()
                .filter(name -> !name.equals(leader))
                .findFirst()
                .orElseThrow();
        await("the follower knows the leader", () -> logs.get(follower).leader().equals(Optional.of(leader)));
        ExecutionException failure = assertThrows(
                ExecutionException.class,
                () -> logs.get(follower).submit(bytes("x")).get(5, TimeUnit.SECONDS));
        WigeongradeException cause = (WigeongradeException) failure.getCause();
        assertThat(cause.kind()).isEqualTo(ErrorKind.CONTROL_UNAVAILABLE);
        assertThat(cause).hasMessageThat().contains(leader.value());
    }

    @Test
    void aReplicaWithALostFolderRejoinsAsALearnerAndBecomesAVoterAgain() throws Exception {
        String[] expected = new String[60];
        for (int i = 0; i < expected.length; i++) {
            expected[i] = "command-" + i;
            submit(expected[i]);
        }
        NodeName lost = followerOf(awaitLeader());
        stop(lost);
        deleteFiles(folder.resolve(lost.value()));
        start(lost);
        awaitAllApplied(expected);
        await("admission as a voter of " + lost, () -> logs.get(lost).isVoter());
        NodeName other = followerOf(awaitLeader(), lost);
        stop(other);
        submit("committed by the leader and the readmitted replica");
    }

    private void submit(String command) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (true) {
            try {
                logs.get(awaitLeader()).submit(bytes(command)).get(5, TimeUnit.SECONDS);
                return;
            } catch (ExecutionException e) {
                if (System.nanoTime() - deadlineNanos > 0) {
                    throw e;
                }
            }
        }
    }

    private NodeName awaitLeader() {
        await("a leader with a lease", () -> leader().isPresent());
        return leader().orElseThrow();
    }

    private Optional<NodeName> leader() {
        return logs.entrySet().stream()
                .filter(entry -> entry.getValue().isLeaderWithLease())
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private NodeName followerOf(NodeName leader, NodeName... except) {
        return logs.keySet().stream()
                .filter(name -> !name.equals(leader) && !Arrays.asList(except).contains(name))
                .findFirst()
                .orElseThrow();
    }

    private void awaitAllApplied(String... commands) {
        stateMachines.forEach((name, stateMachine) -> {
            await(name + " applies all commands", () -> stateMachine.commands().size() >= commands.length);
            assertThat(stateMachine.commands())
                    .containsExactlyElementsIn(commands)
                    .inOrder();
        });
    }

    private void start(NodeName name) {
        Map<NodeName, InetSocketAddress> peers = new TreeMap<>(addresses);
        peers.remove(name);
        RecordingStateMachine stateMachine = new RecordingStateMachine();
        LogSettings settings = LogSettings.ofPeers(
                name,
                folder.resolve(name.value()),
                addresses.get(name),
                ImmutableMap.copyOf(peers),
                FAST,
                COMPACT_AFTER_ENTRIES);
        stateMachines.put(name, stateMachine);
        logs.put(
                name,
                RaftReplicatedLog.open(
                        settings, stateMachine, System::nanoTime, new SuspendAwareClock(), failure -> {}));
    }

    private void stop(NodeName name) {
        Optional.ofNullable(logs.remove(name)).ifPresent(RaftReplicatedLog::close);
    }

    private static void deleteFiles(Path directory) throws IOException {
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
    }

    private static void await(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertWithMessage("not in time: " + description)
                    .that(System.nanoTime() - deadlineNanos < 0)
                    .isTrue();
            LockSupport.parkNanos(1_000_000);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns an address whose port no socket gets by chance while its listener is restarted. */
    private static InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), LoopbackPorts.allocate());
    }
}
