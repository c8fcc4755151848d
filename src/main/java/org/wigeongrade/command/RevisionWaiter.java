package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.PrintStream;
import java.time.Duration;

/**
 * Waits until a revision is in force on every node that the leader knows.
 *
 * <p>Invariant: nodes without a valid view lease are not waited for, since they send no work on an older revision. Not
 * safe for use from several threads.
 */
final class RevisionWaiter {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private final EntryClient client;
    private final long timeoutMs;
    private final PrintStream progress;

    RevisionWaiter(EntryClient client, long timeoutMs, PrintStream progress) {
        this.client = client;
        this.timeoutMs = timeoutMs;
        this.progress = progress;
    }

    /** Returns once no node uses an older revision; throws with exit code {@code PENDING} after the timeout. */
    void awaitInForce(long revision) {
        final long deadlineNanos =
                System.nanoTime() + Duration.ofMillis(timeoutMs).toNanos();
        ImmutableList<String> lagging = laggingNodes(client.send(OperatorCall.get("status")), revision);
        while (!lagging.isEmpty()) {
            if (System.nanoTime() >= deadlineNanos) {
                throw notInForceError(revision, lagging);
            }
            progress.println("wigeongrade: revision " + revision + " is not yet in force on " + lagging);
            Uninterruptibles.sleepUninterruptibly(POLL_INTERVAL);
            lagging = laggingNodes(client.send(OperatorCall.get("status")), revision);
        }
        progress.println("wigeongrade: revision " + revision + " is in force on every node");
    }

    /** Returns the names of the nodes that may still send work on an older revision. */
    static ImmutableList<String> laggingNodes(JsonNode status, long revision) {
        final ImmutableList.Builder<String> lagging = ImmutableList.builder();
        for (final JsonNode node : status.path("nodes")) {
            final boolean hasViewLease = node.path("lease_left_ms").asLong() > 0;
            if (hasViewLease && node.path("revision_in_force").asLong() < revision) {
                lagging.add(node.path("name").asText());
            }
        }
        return lagging.build();
    }

    private CommandException notInForceError(long revision, ImmutableList<String> lagging) {
        return new CommandException(
                ExitCode.PENDING,
                "not_in_force",
                "revision " + revision + " was accepted, but after " + timeoutMs + " ms it is not in force on "
                        + lagging,
                "see 'wigeongrade status'; the change stays accepted and need not be sent again");
    }
}
