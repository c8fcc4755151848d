package org.wigeongrade.platform.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wigeongrade.proof.Await;

/**
 * The conditions of docs/incidents/cut-streams.md as overlapping series: sound engines fall silent for about a second and go
 * on, entry nodes read their settings again and are restarted in turn, and busy processes use the processors.
 *
 * <p>Invariant: no endpoint ends, breaks off or is cut off, so that no begun response may be lost. Each series has its own
 * random numbers. Thread safe.
 */
final class SilenceSeries {
    /** A series of faults, one after the other, until the end of the run. */
    private enum Series {
        SILENT_ENGINES {
            @Override
            void injectNext(SilenceSeries silence, Random random) {
                silence.silenceEngines(random);
                Await.sleepMs(200L + random.nextInt(600));
            }
        },
        RELOADS {
            @Override
            void injectNext(SilenceSeries silence, Random random) {
                final List<Integer> entries = silence.nodes.entries();
                silence.nodes.reload(entries.get(random.nextInt(entries.size())));
                Await.sleepMs(100L + random.nextInt(400));
            }
        },
        RESTARTS {
            @Override
            void injectNext(SilenceSeries silence, Random random) {
                Await.sleepMs(2_000L + random.nextInt(2_000));
                final List<Integer> entries = silence.nodes.entries();
                silence.restart(entries.get(random.nextInt(entries.size())));
            }
        };

        abstract void injectNext(SilenceSeries silence, Random random);
    }

    private static final long MIN_SILENCE_MS = 500;
    private static final int SILENCE_SPREAD_MS = 500;
    private static final int MAX_SILENT_HEADS = 2;
    /** Time for which an engine works between two silences. */
    private static final long MIN_WORK_MS = 1_500;

    private static final int BUSY_PROCESSES = 4;
    /** Uses a processor; ends by itself after two minutes, in case the test is killed. */
    private static final String BUSY_LOOP =
            "end=$(($(date +%s) + 120)); while [ $(date +%s) -lt $end ]; do i=0; while [ $i -lt 200000 ]; do i=$((i + 1));"
                    + " done; done";

    private final SoakNodes nodes;
    private final FakeEndpointFleet endpoints;
    private final long seed;
    private final List<String> injected = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    SilenceSeries(SoakNodes nodes, FakeEndpointFleet endpoints, long seed) {
        this.nodes = nodes;
        this.endpoints = endpoints;
        this.seed = seed;
    }

    List<String> injected() {
        return List.copyOf(injected);
    }

    /** Injects faults for {@code forMs}, then waits until all have ended. */
    void run(long forMs) {
        final List<Process> busy = startBusyProcesses();
        try {
            final long endNanos = System.nanoTime() + forMs * 1_000_000;
            long seriesSeed = seed * Series.values().length;
            for (final Series series : Series.values()) {
                final Random random = new Random(seriesSeed++);
                start(() -> {
                    while (System.nanoTime() - endNanos < 0) {
                        series.injectNext(this, random);
                    }
                });
            }
            threads.forEach(SilenceSeries::join);
        } finally {
            busy.forEach(Process::destroyForcibly);
        }
    }

    private void silenceEngines(Random random) {
        final int count = 1 + random.nextInt(MAX_SILENT_HEADS);
        for (final FakeEndpointVm head : endpoints.pickServingHeads(random, count)) {
            if (!head.hasWorkedFor(MIN_WORK_MS)) {
                continue;
            }
            final long forMs = MIN_SILENCE_MS + random.nextInt(SILENCE_SPREAD_MS);
            injected.add(head.name() + " is silent for " + forMs + " ms");
            start(() -> head.fallSilent(forMs));
        }
    }

    private void restart(int entry) {
        injected.add("restart " + nodes.name(entry));
        nodes.excuse(entry);
        nodes.stopAndRestart(entry, 0);
        nodes.excuse(entry);
    }

    private static List<Process> startBusyProcesses() {
        final List<Process> busy = new ArrayList<>();
        for (int process = 0; process < BUSY_PROCESSES; process++) {
            try {
                busy.add(new ProcessBuilder("sh", "-c", BUSY_LOOP).start());
            } catch (IOException e) {
                busy.forEach(Process::destroyForcibly);
                throw new UncheckedIOException(e);
            }
        }
        return busy;
    }

    private void start(Runnable action) {
        final Thread thread = new Thread(action, "silence-series");
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
