package org.wigeongrade.platform.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.FaultInjectionProxy;

/**
 * The conditions of docs/incidents/lost-endpoints.md as overlapping series: a request crashes each replica that runs it and
 * comes again at any entry node, while entry nodes are cut from all endpoints, and engines fall silent.
 *
 * <p>Invariant: only the crashing request ends endpoints, so that no other request and no prompt part may be kept back.
 * Each series has its own random numbers. Thread safe.
 */
final class CrashingRequestSeries {
    /** Path of the request that crashes replicas; its body is the same each time. */
    static final String PATH = "/read/crash";

    private static final int READ_TIMEOUT_MS = 5_000;
    private static final long MIN_CUT_MS = 300;
    private static final int CUT_SPREAD_MS = 4_000;
    private static final List<FaultInjectionProxy.Mode> CUTS = List.of(
            FaultInjectionProxy.Mode.PARTITION,
            FaultInjectionProxy.Mode.RESET_AND_REFUSE,
            FaultInjectionProxy.Mode.REFUSE_NEW);

    /** A series of faults, one after the other, until the end of the run. */
    private enum Series {
        CRASHING_REQUESTS {
            @Override
            void injectNext(CrashingRequestSeries crashing, Random random) {
                crashing.send(random);
                Await.sleepMs(50L + random.nextInt(random.nextBoolean() ? 500 : 2_500));
            }
        },
        CUTS {
            @Override
            void injectNext(CrashingRequestSeries crashing, Random random) {
                Await.sleepMs(random.nextInt(2_000));
                crashing.cut(random);
            }
        },
        SILENT_ENGINES {
            @Override
            void injectNext(CrashingRequestSeries crashing, Random random) {
                Await.sleepMs(random.nextInt(1_500));
                crashing.endpoints.pickServingHeads(random, 1).forEach(head -> head.fallSilent(700));
            }
        };

        abstract void injectNext(CrashingRequestSeries crashing, Random random);
    }

    private final SoakNodes nodes;
    private final FakeEndpointFleet endpoints;
    private final long seed;
    private final List<String> injected = new CopyOnWriteArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();

    CrashingRequestSeries(SoakNodes nodes, FakeEndpointFleet endpoints, long seed) {
        this.nodes = nodes;
        this.endpoints = endpoints;
        this.seed = seed;
    }

    List<String> injected() {
        return List.copyOf(injected);
    }

    /** Injects faults for {@code forMs}, then waits until all have ended. */
    void run(long forMs) {
        final long endNanos = System.nanoTime() + forMs * 1_000_000;
        final List<Thread> threads = new CopyOnWriteArrayList<>();
        long seriesSeed = seed * Series.values().length;
        for (final Series series : Series.values()) {
            final Random random = new Random(seriesSeed++);
            final Thread thread = new Thread(
                    () -> {
                        while (System.nanoTime() - endNanos < 0) {
                            series.injectNext(this, random);
                        }
                    },
                    series.name());
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
        threads.forEach(CrashingRequestSeries::join);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Random random) {
        final int entry = random.nextInt(nodes.addresses().entries());
        final String attempt = SendRestrictionChecker.attemptPrefix(entry) + "crash-" + requests.incrementAndGet();
        injected.add("crashing request at entry-" + entry);
        endpoints.guarantees().recordSent(attempt);
        try (HttpConnection connection = new HttpConnection(
                SoakAddresses.address(
                        nodes.addresses().entryIp(entry), nodes.addresses().callerPort()),
                READ_TIMEOUT_MS)) {
            final HttpConnection.Response response = connection.call(
                    "POST",
                    PATH,
                    Map.of("Host", "soak.example", "X-Attempt-Id", attempt, "X-Credential", "key-shop"),
                    "crash");
            endpoints.guarantees().recordResponse(attempt, response, true);
        } catch (IOException e) {
            endpoints.guarantees().recordUnansweredCall();
        }
    }

    private void cut(Random random) {
        final int entry = random.nextInt(nodes.addresses().entries());
        final FaultInjectionProxy.Mode mode = CUTS.get(random.nextInt(CUTS.size()));
        final long forMs = MIN_CUT_MS + random.nextInt(CUT_SPREAD_MS);
        injected.add("cut entry-" + entry + " from endpoints for " + forMs + " ms, " + mode);
        endpoints.guarantees().sendRestrictions().excusePauses(entry);
        endpoints.guarantees().limits().excuse(entry);
        final long startNanos = System.nanoTime();
        endpoints.proxies().setMode(entry, mode);
        Await.sleepMs(forMs);
        endpoints.proxies().setMode(entry, FaultInjectionProxy.Mode.FORWARD);
        endpoints.guarantees().cutResponses().recordLinkFault(entry, startNanos);
    }
}
