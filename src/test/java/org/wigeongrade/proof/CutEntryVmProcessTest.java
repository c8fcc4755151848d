package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeongrade.bench.Workload;

/** An entry VM loses its links to all engines, while callers, the other entry VMs and the control VMs reach it. */
@Tag("process")
final class CutEntryVmProcessTest {
    private static final int ENGINES = 4;
    private static final String CUT = "entry-3";
    private static final String OTHER = "entry-1";
    private static final long TIME_TO_LEARN_MS = 3_000;
    private static final long MEASURED_MS = 4_000;
    private static final long PAUSE_MS = 20;
    private static final double MIN_RATIO_TO_OTHERS = 2.0 / 3;
    private static final double MIN_SERVED_ELSEWHERE = 0.98;

    @TempDir
    Path folder;

    /** Callers of a VM that reaches no engine are served through another one, however its links fail. */
    @ParameterizedTest
    @EnumSource(names = {"PARTITION", "RESET_AND_REFUSE", "REFUSE_NEW"})
    void callersOfAnEntryVmThatReachesNoEngineAreServed(FaultInjectionProxy.Mode cut) throws Exception {
        try (ProcessFleet fleet = ProcessFleet.startWithEndpointProxies(folder, 3);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            for (int engine = 1; engine <= ENGINES; engine++) {
                final var unused = fleet.startEngines("vm-" + engine, "--cold-requests", "2");
            }
            final long unused = fleet.apply(
                    DeclaredSetToml.base() + DeclaredSetToml.pool(ENGINES, 1, 8, 2, "zone-a"), 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startGenerateClients(4, Workload.CHAT, 6);
                Await.until(
                        "successful responses",
                        20_000,
                        () -> Histories.count(recorder.history(), ClientThreads.GENERATE, Phase.OK) > 60);
                fleet.setEndpointLinks(CUT, cut);
                // A request that was tried before the cut was known must not be held until its deadline either.
                assertWithMessage("longest time of a request while the cut is noticed, in milliseconds")
                        .that(longestMs(fleet, clients))
                        .isAtMost(TIME_TO_LEARN_MS);
                final double servedElsewhere = servedRatio(fleet, clients, OTHER);
                assertThat(servedElsewhere).isAtLeast(MIN_SERVED_ELSEWHERE);
                assertWithMessage("served at the cut VM")
                        .that(servedRatio(fleet, clients, CUT))
                        .isAtLeast(MIN_RATIO_TO_OTHERS * servedElsewhere);
                fleet.setEndpointLinks(CUT, FaultInjectionProxy.Mode.FORWARD);
                Await.sleepMs(TIME_TO_LEARN_MS);
                assertWithMessage("served after the cut")
                        .that(servedRatio(fleet, clients, CUT))
                        .isAtLeast(MIN_SERVED_ELSEWHERE);
            }

            assertThat(FalseNotRunChecker.check(ClientThreads.GENERATE, recorder.history(), fleet.journal()))
                    .isEmpty();
            assertThat(WrongAnswerChecker.check(recorder.history())).isEmpty();
        }
    }

    /** Sends requests to the cut VM for the time that it has to notice the cut. */
    private static long longestMs(ProcessFleet fleet, ClientThreads clients) {
        final long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIME_TO_LEARN_MS);
        long longestNanos = 0;
        while (System.nanoTime() - deadlineNanos < 0) {
            final long sentNanos = System.nanoTime();
            final var unused =
                    clients.generateAt(fleet.entryAddress(CUT), 99, Workload.CHAT, "cut " + sentNanos, "", 6);
            longestNanos = Math.max(longestNanos, System.nanoTime() - sentNanos);
            Await.sleepMs(PAUSE_MS);
        }
        return TimeUnit.NANOSECONDS.toMillis(longestNanos);
    }

    private static double servedRatio(ProcessFleet fleet, ClientThreads clients, String entry) {
        final long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MEASURED_MS);
        int sent = 0;
        int served = 0;
        while (System.nanoTime() - deadlineNanos < 0) {
            sent++;
            final String operation = entry + " " + System.nanoTime();
            served += clients.generateAt(fleet.entryAddress(entry), 99, Workload.CHAT, operation, "", 6)
                            .isOk()
                    ? 1
                    : 0;
            Await.sleepMs(PAUSE_MS);
        }
        return (double) served / sent;
    }
}
