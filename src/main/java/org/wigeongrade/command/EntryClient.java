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
 * Sends a call to one entry VM after another until one returns a result or a refusal, or the deadline passes.
 *
 * <p>Invariant: the same call, with the same change id, is sent to each entry VM. Once a call may have run, its outcome
 * is reported as unknown unless a later response settles it. Not safe for use from several threads.
 */
final class EntryClient {
    private static final long MIN_RETRY_DELAY_MS = 100;
    /**
     * Minimum time for the response to a call that was sent, in milliseconds. Giving up earlier would leave the outcome
     * of a change unknown, only because this JVM or the VM has just started.
     */
    private static final long MIN_RESPONSE_TIMEOUT_MS = 2_000;

    /** Entry VMs in the order in which they are tried, starting with the one that returned the last result. */
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
     * Sends the call and returns its result.
     *
     * @throws CommandException if it was refused, no entry VM could run it, or its outcome is unknown
     */
    JsonNode send(OperatorCall call) {
        return send(call, UnaryOperator.identity());
    }

    /**
     * Does the same as {@link #send(OperatorCall)}; {@code relocateFault} maps each fault in a refusal to its source
     * file.
     */
    JsonNode send(OperatorCall call, UnaryOperator<Fault> relocateFault) {
        final long deadlineNanos =
                System.nanoTime() + Duration.ofMillis(timeoutMs).toNanos();
        boolean mayHaveRun = false;
        String lastCause = "";
        do {
            long retryDelayMs = MIN_RETRY_DELAY_MS;
            for (final NodeAddress entry : List.copyOf(entries)) {
                final CallOutcome outcome = transport.send(entry, call, remainingTimeout(deadlineNanos));
                if (outcome instanceof CallOutcome.Succeeded succeeded) {
                    moveToFront(entry);
                    return succeeded.result();
                }
                if (outcome instanceof CallOutcome.Refused refused) {
                    throw refused.error().mapFaults(relocateFault).toException();
                }
                if (outcome instanceof CallOutcome.Unreachable unreachable) {
                    lastCause = unreachable.cause();
                }
                if (outcome instanceof CallOutcome.Unknown unknown) {
                    mayHaveRun = true;
                    lastCause = unknown.cause();
                }
                if (outcome instanceof CallOutcome.NotRun notRun) {
                    retryDelayMs = Math.max(retryDelayMs, notRun.retryAfterMs());
                    lastCause = notRun.cause();
                }
                progress.println("wigeongrade: " + lastCause + "; retrying");
            }
            sleepUntilRetry(retryDelayMs, deadlineNanos);
        } while (System.nanoTime() < deadlineNanos);
        throw mayHaveRun ? outcomeUnknownError(lastCause) : unreachableError(lastCause);
    }

    private void moveToFront(NodeAddress entry) {
        entries.remove(entry);
        entries.add(0, entry);
    }

    private static Duration remainingTimeout(long deadlineNanos) {
        return Duration.ofNanos(
                Math.max(Duration.ofMillis(MIN_RESPONSE_TIMEOUT_MS).toNanos(), deadlineNanos - System.nanoTime()));
    }

    private static void sleepUntilRetry(long retryDelayMs, long deadlineNanos) {
        final long remainingMs =
                Duration.ofNanos(deadlineNanos - System.nanoTime()).toMillis();
        Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(Math.max(0, Math.min(retryDelayMs, remainingMs))));
    }

    private CommandException unreachableError(String cause) {
        return new CommandException(
                ExitCode.UNREACHABLE,
                "unreachable",
                "no entry VM of " + entries + " ran the call within " + timeoutMs + " ms; last failure: " + cause,
                "pass running entry VMs with --entry, or wait longer with --timeout-ms");
    }

    private CommandException outcomeUnknownError(String cause) {
        return new CommandException(
                ExitCode.OUTCOME_UNKNOWN,
                "outcome_unknown",
                "the call may have run, and no entry VM settled its outcome within " + timeoutMs + " ms; last failure: "
                        + cause,
                "send a change again with the same --change-id: it takes effect only once");
    }
}
