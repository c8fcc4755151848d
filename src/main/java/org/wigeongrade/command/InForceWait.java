package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.PrintStream;
import java.time.Duration;

/**
 * Waits until a revision is in force on every node that the leader knows.
 *
 * <p>Invariant: a node without a valid view lease sends no work, so an older revision on it is not waited for. Not safe
 * for use from several threads.
 */
final class InForceWait {
    private static final Duration POLL = Duration.ofMillis(250);

    private final EntryClient client;
    private final long timeoutMs;
    private final PrintStream progress;

    InForceWait(EntryClient client, long timeoutMs, PrintStream progress) {
        this.client = client;
        this.timeoutMs = timeoutMs;
        this.progress = progress;
    }

    /** Returns once no node lags; throws with exit code {@code PENDING} after the time given. */
    void await(long revision) {
        final long deadlineNanos =
                System.nanoTime() + Duration.ofMillis(timeoutMs).toNanos();
        ImmutableList<String> lagging = laggingNodes(client.send(OperatorCall.get("status")), revision);
        while (!lagging.isEmpty()) {
            if (System.nanoTime() >= deadlineNanos) {
                throw notInForce(revision, lagging);
            }
            progress.println("wigeongrade: revision " + revision + " is not yet in force on " + lagging);
            Uninterruptibles.sleepUninterruptibly(POLL);
            lagging = laggingNodes(client.send(OperatorCall.get("status")), revision);
        }
        progress.println("wigeongrade: revision " + revision + " is in force on every node");
    }

    /** Returns the names of nodes that may send work on an older revision. */
    static ImmutableList<String> laggingNodes(JsonNode status, long revision) {
        final ImmutableList.Builder<String> lagging = ImmutableList.builder();
        for (final JsonNode node : status.path("nodes")) {
            final boolean mayWork = node.path("lease_left_ms").asLong() > 0;
            if (mayWork && node.path("revision_in_force").asLong() < revision) {
                lagging.add(node.path("name").asText());
            }
        }
        return lagging.build();
    }

    private CommandException notInForce(long revision, ImmutableList<String> lagging) {
        return new CommandException(
                ExitCode.PENDING,
                "not_in_force",
                "revision " + revision + " was accepted, but after " + timeoutMs + " ms it is not in force on "
                        + lagging,
                "see 'wigeongrade status'; the change stays accepted and needs no resend");
    }
}
