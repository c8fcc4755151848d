package org.wigeongrade.proof;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.wigeongrade.standin.StandinJson;

/**
 * Records the calls of clients and their outcomes, as JSON lines in the order of the recorder's clock.
 *
 * <p>Invariants: an invocation is recorded before the client sends it and its outcome after the client knows it; events
 * are in order of time. Safe for use from any thread.
 */
final class HistoryRecorder implements AutoCloseable {
    private final List<HistoryEvent> events = new ArrayList<>();
    private final AtomicLong callCount = new AtomicLong();
    private final BufferedWriter file;

    HistoryRecorder(Path path) throws IOException {
        this.file = Files.newBufferedWriter(path);
    }

    /** One invocation, whose outcome is recorded by one of the methods. */
    final class Call {
        private final int client;
        private final long id;
        private final String function;
        private final String subject;
        private final String target;

        private Call(int client, String function, String subject, String target) {
            this.client = client;
            this.id = callCount.incrementAndGet();
            this.function = function;
            this.subject = subject;
            this.target = target;
        }

        void ok(String value) {
            end(Phase.OK, value);
        }

        void fail(String value) {
            end(Phase.FAIL, value);
        }

        void unknown(String value) {
            end(Phase.UNKNOWN, value);
        }

        private void end(Phase phase, String value) {
            record(client, id, phase, function, subject, target, value);
        }
    }

    /** Records the start of a call. */
    Call invoke(int client, String function, String subject, String target) {
        Call call = new Call(client, function, subject, target);
        record(client, call.id, Phase.INVOKE, function, subject, target, "");
        return call;
    }

    /** Records an action of the test that took effect immediately, such as a kill. */
    void recordAction(String function, String subject) {
        invoke(0, function, subject, "").ok("");
    }

    private synchronized void record(
            int client, long call, Phase phase, String function, String subject, String target, String value) {
        HistoryEvent event = new HistoryEvent(System.nanoTime(), client, call, phase, function, subject, target, value);
        events.add(event);
        try {
            file.write(StandinJson.write(event));
            file.newLine();
        } catch (IOException e) {
            throw new UncheckedIOException("history cannot be written", e);
        }
    }

    /** Returns the events recorded so far. */
    synchronized List<HistoryEvent> history() {
        return List.copyOf(events);
    }

    @Override
    public synchronized void close() throws IOException {
        file.close();
    }
}
