package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.wigeongrade.settings.Fault;
import org.wigeongrade.settings.NodeAddress;

/**
 * Sends a call to one entry VM after another until one answers or the deadline passes.
 *
 * <p>Invariant: the same call, with the same change id, goes to each entry VM; once an answer was lost, the outcome is
 * reported as unknown unless a later answer settles it. Not safe for use from several threads.
 */
final class EntryClient {
    private static final long MIN_PAUSE_MS = 100;

    /** Entry VMs in the order to try; the one that answered last goes first. */
    private final List<NodeAddress> entries;

    private final long timeoutMs;
    private final PrintStream progress;
    private final EntryTransport transport = new EntryTransport();

    EntryClient(List<NodeAddress> entries, long timeoutMs, PrintStream progress) {
        this.entries = new ArrayList<>(entries);
        this.timeoutMs = timeoutMs;
        this.progress = progress;
    }

    /**
     * Returns the result of the call.
     *
     * @throws CommandException if it was refused, no entry VM could run it, or its outcome is unknown
     */
    JsonNode send(OperatorCall call) {
        return send(call, UnaryOperator.identity());
    }

    /** Like {@link #send(OperatorCall)}; {@code place} changes the place of each fault in a refusal. */
    JsonNode send(OperatorCall call, UnaryOperator<Fault> place) {
        final long deadlineNanos =
                System.nanoTime() + Duration.ofMillis(timeoutMs).toNanos();
        boolean answerLost = false;
        String lastCause = "";
        do {
            long pauseMs = MIN_PAUSE_MS;
            for (final NodeAddress entry : List.copyOf(entries)) {
                final CallOutcome outcome = transport.send(entry, call, remaining(deadlineNanos));
                if (outcome instanceof CallOutcome.Answered answered) {
                    prefer(entry);
                    return answered.result();
                }
                if (outcome instanceof CallOutcome.Refused refused) {
                    throw refused.error().withPlaces(place).toException();
                }
                if (outcome instanceof CallOutcome.Unreachable unreachable) {
                    lastCause = unreachable.cause();
                }
                if (outcome instanceof CallOutcome.Unknown unknown) {
                    answerLost = true;
                    lastCause = unknown.cause();
                }
                if (outcome instanceof CallOutcome.NotRun notRun) {
                    pauseMs = Math.max(pauseMs, notRun.retryAfterMs());
                    lastCause = notRun.cause();
                }
                progress.println("wigeongrade: " + lastCause + "; trying again");
            }
            pause(pauseMs, deadlineNanos);
        } while (System.nanoTime() < deadlineNanos);
        throw answerLost ? unknown(lastCause) : unreachable(lastCause);
    }

    private void prefer(NodeAddress entry) {
        entries.remove(entry);
        entries.add(0, entry);
    }

    private static Duration remaining(long deadlineNanos) {
        return Duration.ofNanos(Math.max(Duration.ofMillis(MIN_PAUSE_MS).toNanos(), deadlineNanos - System.nanoTime()));
    }

    private static void pause(long pauseMs, long deadlineNanos) {
        final long leftMs = Duration.ofNanos(deadlineNanos - System.nanoTime()).toMillis();
        Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(Math.max(0, Math.min(pauseMs, leftMs))));
    }

    private CommandException unreachable(String cause) {
        return new CommandException(
                ExitCode.UNREACHABLE,
                "unreachable",
                "no entry VM of " + entries + " ran the call within " + timeoutMs + " ms; last: " + cause,
                "name running entry VMs with --entry, or wait longer with --timeout-ms");
    }

    private CommandException unknown(String cause) {
        return new CommandException(
                ExitCode.OUTCOME_UNKNOWN,
                "outcome_unknown",
                "the answer was lost and no other entry VM settled the outcome within " + timeoutMs + " ms; last: "
                        + cause,
                "send a change again with the same --change-id: it takes effect once only");
    }
}
