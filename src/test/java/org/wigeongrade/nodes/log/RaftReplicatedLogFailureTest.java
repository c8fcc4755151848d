package org.wigeongrade.nodes.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableSortedSet;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.clock.SuspendAwareClock;
import org.wigeongrade.decisions.log.CoreSettings;
import org.wigeongrade.decisions.log.LogTimings;
import org.wigeongrade.disk.FaultyFileOperations;
import org.wigeongrade.disk.FullDiskPolicy;
import org.wigeongrade.disk.LogStore;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;

/**
 * Tests replicas whose leader has a disk failure, is cut off or transfers leadership. Uses real files and an in-memory
 * network.
 */
final class RaftReplicatedLogFailureTest {
    private static final LogTimings FAST = LogTimings.ofMs(20, 150, 300, 120);
    private static final ImmutableSortedSet<NodeName> VOTERS =
            ImmutableSortedSet.of(NodeName.of("control-1"), NodeName.of("control-2"), NodeName.of("control-3"));

    @TempDir
    Path folder;

    private final InMemoryNetwork network = new InMemoryNetwork();
    private final Map<NodeName, RaftReplicatedLog> logs = new TreeMap<>();
    private final Map<NodeName, RecordingStateMachine> stateMachines = new TreeMap<>();
    private final Map<NodeName, FaultyFileOperations> fileOperationsOf = new TreeMap<>();
    private final Map<NodeName, FullDiskPolicy> fullDiskPolicies = new ConcurrentHashMap<>();
    private final Map<NodeName, RuntimeException> failures = new ConcurrentHashMap<>();

    @BeforeEach
    void startAll() {
        VOTERS.forEach(this::start);
    }

    @AfterEach
    void stopAll() {
        logs.values().forEach(RaftReplicatedLog::close);
    }

    @ParameterizedTest
    @CsvSource({"WRITE, No space left on device", "SYNC, Input/output error"})
    void aLeaderWhoseDiskFailsStopsAndAnotherLeads(FaultyFileOperations.Call call, String cause) throws Exception {
        NodeName leader = awaitLeaderOtherThan(Optional.empty());
        submit(leader, "before").get(5, TimeUnit.SECONDS);
        fileOperationsOf.get(leader).failEvery(call, cause);
        CompletableFuture<byte[]> pending = submit(leader, "open");
        assertThat(kindOf(pending)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        await("the failure is reported", () -> failures.containsKey(leader));
        assertThat(failures.get(leader)).hasMessageThat().contains(cause);
        assertThat(kindOf(submit(leader, "late"))).isEqualTo(ErrorKind.CONTROL_UNAVAILABLE);
        NodeName next = awaitLeaderOtherThan(Optional.of(leader));
        submit(next, "after").get(5, TimeUnit.SECONDS);
        List<String> commands = stateMachines.get(next).commands();
        assertThat(commands).containsAtLeast("before", "after").inOrder();
    }

    @Test
    void aLeaderWhoseDiskIsFullStepsBackAndGoesOnOnceThereIsSpace() throws Exception {
        NodeName leader = awaitLeaderOtherThan(Optional.empty());
        submit(leader, "before").get(5, TimeUnit.SECONDS);
        fullDiskPolicies.put(leader, message -> logs.get(leader).waitForDiskSpace());
        fileOperationsOf.get(leader).failEvery(FaultyFileOperations.Call.WRITE, "No space left on device");
        CompletableFuture<byte[]> pending = submit(leader, "open");
        NodeName next = awaitLeaderOtherThan(Optional.of(leader));
        assertThat(logs.get(leader).isLeaderWithLease()).isFalse();
        assertThat(logs.get(leader).leader()).isEmpty();
        submit(next, "after").get(5, TimeUnit.SECONDS);
        fileOperationsOf.get(leader).stopFailing();

        await(
                "the replica whose disk was full catches up",
                () -> stateMachines.get(leader).commands().contains("after"));
        await("the open command has an outcome", pending::isDone);
        // The followers may have received the command before the leader's own write was refused.
        if (!pending.isCompletedExceptionally()) {
            assertThat(stateMachines.get(next).commands()).contains("open");
        }
        assertThat(failures).isEmpty();
    }

    @Test
    void aLeaderThatIsCutOffLosesItsLeaseBeforeAnotherLeadsAndCatchesUpAfterwards() throws Exception {
        NodeName leader = awaitLeaderOtherThan(Optional.empty());
        network.cutOff(leader);
        CompletableFuture<byte[]> pending = submit(leader, "open");
        NodeName next = awaitLeaderOtherThan(Optional.of(leader));
        assertThat(logs.get(leader).isLeaderWithLease()).isFalse();
        submit(next, "after").get(5, TimeUnit.SECONDS);
        assertThat(kindOf(pending)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        network.heal();
        await(
                "the old leader catches up",
                () -> stateMachines.get(leader).commands().equals(List.of("after")));
        assertThat(logs.get(leader).term()).isEqualTo(logs.get(next).term());
    }

    @Test
    void aLeadershipTransferNeedsNoElectionTimeout() {
        NodeName leader = awaitLeaderOtherThan(Optional.empty());
        long termBefore = logs.get(leader).term();
        logs.get(leader).transferLeadership();
        awaitLeaderOtherThan(Optional.of(leader));
        assertThat(logs.get(leader).isLeaderWithLease()).isFalse();
        assertThat(logs.values().stream()
                        .mapToLong(RaftReplicatedLog::term)
                        .max()
                        .orElseThrow())
                .isEqualTo(termBefore + 1);
    }

    private void start(NodeName name) {
        FaultyFileOperations fileOperations = new FaultyFileOperations();
        LogStore store = LogStore.open(
                folder.resolve(name.value()),
                fileOperations,
                name::hashCode,
                message ->
                        fullDiskPolicies.getOrDefault(name, FullDiskPolicy.FAIL).shouldRepeat(message));
        RecordingStateMachine stateMachine = new RecordingStateMachine();
        RaftReplicatedLog log = new RaftReplicatedLog(
                CoreSettings.configured(name, VOTERS, FAST),
                store,
                network.transportOf(name),
                stateMachine,
                System::nanoTime,
                new SuspendAwareClock(),
                new Random(name.hashCode()),
                100,
                failure -> failures.put(name, failure));
        fileOperationsOf.put(name, fileOperations);
        stateMachines.put(name, stateMachine);
        logs.put(name, log);
        network.join(name, log);
        log.start();
    }

    private NodeName awaitLeaderOtherThan(Optional<NodeName> excluded) {
        await("a leader other than " + excluded, () -> leaderOtherThan(excluded).isPresent());
        return leaderOtherThan(excluded).orElseThrow();
    }

    private Optional<NodeName> leaderOtherThan(Optional<NodeName> excluded) {
        return logs.entrySet().stream()
                .filter(entry -> !Optional.of(entry.getKey()).equals(excluded))
                .filter(entry -> entry.getValue().isLeaderWithLease())
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private CompletableFuture<byte[]> submit(NodeName name, String command) {
        return logs.get(name).submit(command.getBytes(StandardCharsets.UTF_8));
    }

    private static ErrorKind kindOf(CompletableFuture<byte[]> future) {
        ExecutionException failure = assertThrows(ExecutionException.class, () -> future.get(5, TimeUnit.SECONDS));
        return ((WigeongradeException) failure.getCause()).kind();
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
}
