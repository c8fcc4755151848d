package org.wigeongrade.platform.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.proof.Await;

/**
 * Plays random faults against separate processes and checks the promises to clients, endpoints and operators.
 *
 * <p>{@code -Dsoak.seeds=1,2,3} names the seeds, {@code -Dsoak.seconds=N} the time for each, {@code -Dsoak.logs=FOLDER} where
 * the nodes' logs go.
 */
final class FleetSoakTest {
    /** A short run for CI, and each seed that ever failed. */
    private static final String CI_SEEDS = "1";

    private static final int CI_SECONDS = 12;
    private static final int CONTROLS = 3;
    private static final int ENTRIES = 2;
    private static final int CLIENTS = 8;
    private static final long START_MS = 30_000;
    private static final long RECOVERY_MS = 15_000;

    @TempDir
    private Path folder;

    static LongStream seeds() {
        return Arrays.stream(System.getProperty("soak.seeds", CI_SEEDS).split(","))
                .mapToLong(Long::parseLong);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void promisesHoldWhateverHappens(long seed) throws Exception {
        final long forMs = Integer.getInteger("soak.seconds", CI_SECONDS) * 1_000L;
        final Promises promises = new Promises();
        final SoakAddresses addresses = SoakAddresses.free(CONTROLS, ENTRIES);
        final ControlCaller control = new ControlCaller(addresses.controlAddresses());
        final SoakOperator operator = new SoakOperator(control, promises);
        try (SoakNodes nodes = new SoakNodes(folder, addresses);
                StandinFleet standins = new StandinFleet(promises, control, operator)) {
            final SoakFaults faults = new SoakFaults(nodes, standins, new Random(seed));
            try {
                play(seed, forMs, promises, addresses, operator, standins, faults);
            } finally {
                report(seed, promises, faults, nodes);
            }
            assertWithMessage("seed %s, faults %s", seed, faults.injected())
                    .that(promises.violations())
                    .isEmpty();
        }
    }

    private static void play(
            long seed,
            long forMs,
            Promises promises,
            SoakAddresses addresses,
            SoakOperator operator,
            StandinFleet standins,
            SoakFaults faults)
            throws InterruptedException {
        assertThat(operator.publishNext(true, START_MS)).isTrue();
        standins.start();
        final AtomicBoolean stopped = new AtomicBoolean();
        final List<Thread> clients = startClients(seed, addresses, promises, operator, stopped);
        awaitServed(promises, "served at first", START_MS);
        final Thread publishing = start("operator", () -> operator.run(new Random(seed + 1), forMs));
        faults.run(forMs);
        publishing.join();
        awaitServed(promises, "served again after the faults " + faults.injected(), RECOVERY_MS);
        Await.until(
                "the configuration is read back",
                RECOVERY_MS,
                () -> operator.read()
                        .filter(version -> version >= operator.acknowledged())
                        .isPresent());
        stopped.set(true);
        for (final Thread client : clients) {
            client.join();
        }
    }

    private static List<Thread> startClients(
            long seed, SoakAddresses addresses, Promises promises, SoakOperator operator, AtomicBoolean stopped) {
        final List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            final Random random = new Random(seed * CLIENTS + client);
            clients.add(
                    start("client-" + client, new SoakClient(client, addresses, promises, operator, stopped, random)));
        }
        return clients;
    }

    private static Thread start(String name, Runnable action) {
        final Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits for twenty more answers of endpoints. */
    private static void awaitServed(Promises promises, String what, long patienceMs) {
        final int before = promises.answers(200);
        Await.until(what + "; " + promises, patienceMs, () -> promises.answers(200) >= before + 20);
    }

    private static void report(long seed, Promises promises, SoakFaults faults, SoakNodes nodes) throws IOException {
        System.out.println("soak seed " + seed + ": " + faults.injected().size() + " faults, " + promises
                + ", violations " + promises.violations());
        final String logs = System.getProperty("soak.logs");
        if (logs != null) {
            Files.writeString(Path.of(logs, "seed-" + seed + ".log"), faults.injected() + "\n" + nodes.logs());
        }
    }
}
