package org.wigeongrade.callers;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.decisions.control.StoredResponse;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.logging.LogEvent;

/**
 * Claims the right to send a call that is not idempotent in the replicated log, and records there how the call ended.
 *
 * <p>Invariant: {@link #claim} returns a deadline only after the claim was committed, and the deadline is counted from
 * before the claim was proposed. Thread safe; every method may block on the log and must run on a worker thread.
 */
final class ClaimClient {
    private static final long SEND_WINDOW_MS = 5_000;
    private static final long FINISH_TIMEOUT_MS = 5_000;
    private static final int MAX_ID_PREFIX_CHARS = 80;
    private static final int MAX_STORED_BODY_BYTES = 256 * 1024;

    private final CallerDependencies dependencies;
    private final String claimSuffix = UUID.randomUUID().toString();

    ClaimClient(CallerDependencies dependencies) {
        this.dependencies = dependencies;
    }

    /** The result of a claim. */
    sealed interface Outcome {
        /** The claim was committed; the call may be sent until the deadline, which is on this VM's monotonic clock. */
        record Claimed(long sendDeadlineNanos) implements Outcome {}

        /** A call with the same idempotency key already completed; this is its stored response. */
        record AlreadyAnswered(StoredResponse response) implements Outcome {}

        /** The call must not be sent. */
        record Refused(WigeongradeException failure) implements Outcome {}
    }

    Outcome claim(ServiceCall call, RequestId requestId) {
        final long startNanos = dependencies.entry().nowNanos();
        final long deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(SEND_WINDOW_MS);
        final long nowEpochMs = dependencies.epochMsClock().getAsLong();
        final Command command = new Command.ClaimRequest(
                call.organisation(),
                call.idempotencyKey().orElseThrow(),
                call.digest(),
                claimId(requestId),
                dependencies.entry().self(),
                nowEpochMs + SEND_WINDOW_MS,
                nowEpochMs);
        try {
            return toOutcome(dependencies.control().submit(command, deadlineNanos), call, deadlineNanos);
        } catch (WigeongradeException failure) {
            if (failure.kind() == ErrorKind.OUTCOME_UNKNOWN) {
                dependencies.workers().execute(() -> finish(call, requestId, RunStatus.NOT_RUN, Optional.empty()));
            }
            return new Outcome.Refused(new WigeongradeException(
                    ErrorKind.CONTROL_UNAVAILABLE,
                    "the call could not be claimed in the replicated log: " + failure.getMessage(),
                    failure));
        }
    }

    /** Records the outcome of a claimed call; returns whether the record was committed. */
    boolean finish(ServiceCall call, RequestId requestId, RunStatus outcome, Optional<StoredResponse> response) {
        final boolean fitsInLog = response.filter(stored -> stored.body().length <= MAX_STORED_BODY_BYTES)
                .isPresent();
        final RunStatus recordedOutcome = outcome == RunStatus.COMPLETED && !fitsInLog ? RunStatus.UNKNOWN : outcome;
        final Command command = new Command.FinishClaim(
                call.organisation(),
                call.idempotencyKey().orElseThrow(),
                claimId(requestId),
                recordedOutcome,
                fitsInLog ? response.get() : null,
                dependencies.epochMsClock().getAsLong());
        try {
            final long deadlineNanos =
                    dependencies.entry().nowNanos() + TimeUnit.MILLISECONDS.toNanos(FINISH_TIMEOUT_MS);
            return dependencies.control().submit(command, deadlineNanos) instanceof CommandResult.Accepted;
        } catch (WigeongradeException failure) {
            dependencies
                    .events()
                    .write(
                            LogEvent.CLAIM_UNKNOWN,
                            call.idempotencyKey().orElseThrow(),
                            call.organisation(),
                            failure.getMessage());
            return false;
        }
    }

    /**
     * Returns a unique id for this claim, because a caller may send two copies of a request with the same request id.
     */
    private RequestId claimId(RequestId requestId) {
        final String value = requestId.value();
        return new RequestId(value.substring(0, Math.min(value.length(), MAX_ID_PREFIX_CHARS)) + "." + claimSuffix);
    }

    private Outcome toOutcome(CommandResult result, ServiceCall call, long deadlineNanos) {
        if (result instanceof CommandResult.AlreadyAnswered answered) {
            return new Outcome.AlreadyAnswered(answered.answer());
        }
        if (result instanceof CommandResult.Refused refused) {
            return new Outcome.Refused(new WigeongradeException(refused.kind(), refused.message()));
        }
        dependencies
                .events()
                .write(LogEvent.CLAIM_COMMITTED, call.idempotencyKey().orElseThrow(), call.organisation());
        return new Outcome.Claimed(deadlineNanos);
    }
}
