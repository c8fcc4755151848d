package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpExchange;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.logging.EventLog;

/**
 * Tests requests that share a part of their prompt that crashes endpoints, sent through two entry nodes among requests
 * of the same caller that share the other parts.
 */
final class CrashingPromptPartTest {
    /** Kept, as the logging system holds loggers weakly. */
    private static final Logger LOGGER = Logger.getLogger(EventLog.LOGGER_NAME);

    private static final String CRASHING_PART = "bad0";
    private static final int ENDPOINTS = 12;
    private static final int TOPICS = 4;
    private static final long SOUND_INTERVAL_MS = 20;
    private static final long CRASHING_INTERVAL_MS = 150;
    /** Crashes after which the fleet has to know what they have in common, and the time that it has for that. */
    private static final int CRASHES_TO_LEARN_FROM = 5;

    private static final long TIME_TO_LEARN_MS = 3_000;
    private static final int MAX_SENDS_AFTERWARDS = 3;
    private static final long MEASURED_MS = 4_000;

    private record Sent(long sentNanos, int status) {}

    @TempDir
    private Path folder;

    private final List<Long> crashesNanos = new CopyOnWriteArrayList<>();
    private final List<Long> crashingArrivalsNanos = new CopyOnWriteArrayList<>();
    private final List<Sent> sound = new CopyOnWriteArrayList<>();
    private final List<String> refutedCrashes = new CopyOnWriteArrayList<>();
    private final Handler refutations = new Handler() {
        @Override
        public void publish(LogRecord logged) {
            final String event = Arrays.toString(logged.getParameters());
            if (event.contains("name=endpoint_loss_decided") && event.contains("was no crash")) {
                refutedCrashes.add(event);
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void watch() {
        LOGGER.addHandler(refutations);
    }

    @AfterEach
    void stopWatching() {
        LOGGER.removeHandler(refutations);
    }

    /**
     * Requests are counted by what they share, since no two of those that crash endpoints are alike. Guards against a
     * leader that releases them because another process serves at the address of a crashed one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"bad0:90", "topic:200,bad0:90", "bad0:90,topic:200"})
    void promptPartThatCrashedFiveEndpointsIsNoLongerSentWhileOthersAreServed(String crashingParts)
            throws InterruptedException {
        try (LoopbackFleet fleet = new LoopbackFleet(folder, ENDPOINTS, responder(), this::isCrashing)) {
            fleet.repeat(() -> sendSound(fleet), SOUND_INTERVAL_MS);
            TimeUnit.MILLISECONDS.sleep(TIME_TO_LEARN_MS / 2);
            fleet.repeat(() -> sendCrashing(fleet, crashingParts), CRASHING_INTERVAL_MS);
            LoopbackFleet.await("five crashes", () -> crashesNanos.size() >= CRASHES_TO_LEARN_FROM);
            TimeUnit.MILLISECONDS.sleep(2 * TIME_TO_LEARN_MS + MEASURED_MS);
            fleet.stopRepeating();
        }

        assertWithMessage("crashes that the leader took for none")
                .that(refutedCrashes)
                .isEmpty();
        final long learntNanos = crashesNanos.stream().sorted().toList().get(CRASHES_TO_LEARN_FROM - 1)
                + TimeUnit.MILLISECONDS.toNanos(TIME_TO_LEARN_MS);
        final long sentLater = crashingArrivalsNanos.stream()
                .filter(nanos -> nanos - learntNanos > 0)
                .count();
        final long measuredNanos = learntNanos + TimeUnit.MILLISECONDS.toNanos(TIME_TO_LEARN_MS);
        final List<Sent> measured = sound.stream()
                .filter(request -> request.sentNanos() - measuredNanos > 0)
                .toList();
        final long served =
                measured.stream().filter(request -> request.status() == 200).count();
        assertWithMessage("requests with the part sent later; %s endpoints crashed in all", crashesNanos.size())
                .that(sentLater)
                .isAtMost(MAX_SENDS_AFTERWARDS);
        assertThat(measured).isNotEmpty();
        assertWithMessage("sound requests served of %s", measured.size())
                .that(2 * served)
                .isAtLeast(measured.size());
    }

    private LoopbackFleet.EndpointResponder responder() {
        return new LoopbackFleet.EndpointResponder() {
            @Override
            public void onRequest(int endpoint, HttpExchange exchange) {
                if (isCrashing(exchange)) {
                    crashingArrivalsNanos.add(System.nanoTime());
                }
            }

            @Override
            public void onCrash(int endpoint) {
                crashesNanos.add(System.nanoTime());
            }
        };
    }

    private boolean isCrashing(HttpExchange exchange) {
        return exchange.getRequestHeaders().getFirst("X-Prompt-Prefix").contains(CRASHING_PART + ":");
    }

    private void sendSound(LoopbackFleet fleet) {
        final long sentNanos = System.nanoTime();
        final String topic = Integer.toHexString(0xa0 + sound.size() % TOPICS);
        final var unused = fleet.send(entryFor(sentNanos), "5a5a:40,%s:200,%x:300".formatted(topic, sentNanos))
                .thenAccept(status -> sound.add(new Sent(sentNanos, status)));
    }

    private static void sendCrashing(LoopbackFleet fleet, String parts) {
        final long sentNanos = System.nanoTime();
        final var unused =
                fleet.send(entryFor(sentNanos), "5a5a:40,%s,%x:300".formatted(parts.replace("topic", "a0"), sentNanos));
    }

    private static int entryFor(long sentNanos) {
        return (int) (sentNanos / 1_000 % LoopbackFleet.ENTRIES);
    }
}
