package org.wigeongrade.callers;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.decisions.control.StoredAnswer;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunClaim;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.logging.LogEvent;

/**
 * Claims the single send of a call in the replicated log and records how it ended.
 *
 * <p>Invariant: {@link #claim} returns a deadline only after the claim was committed, and the deadline counts from before
 * the claim was proposed. Thread safe; every method may block on the log and runs on a worker.
 */
final class ClaimKeeper {
    private static final long SEND_WINDOW_MS = 5_000;
    private static final long FINISH_TIMEOUT_MS = 5_000;
    private static final int MAX_ID_PREFIX = 80;
    private static final int MAX_STORED_BYTES = 256 * 1024;

    private final CallerServices services;
    private final String nonce = UUID.randomUUID().toString();

    ClaimKeeper(CallerServices services) {
        this.services = services;
    }

    /** What a claim gave. */
    sealed interface Outcome {
        /** The call may be sent until the deadline on this VM's monotonic clock. */
        record Claimed(long sendDeadlineNanos) implements Outcome {}

        /** The call ran before; this is its answer. */
        record Answered(StoredAnswer answer) implements Outcome {}

        /** The call must not be sent. */
        record Refused(WigeongradeException failure) implements Outcome {}
    }

    Outcome claim(ServiceCall call, RequestId requestId) {
        final long startNanos = services.entry().nowNanos();
        final long deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(SEND_WINDOW_MS);
        final long nowEpochMs = services.epochMsClock().getAsLong();
        final Command command = new Command.ClaimRequest(
                call.organisation(),
                call.idempotencyKey().orElseThrow(),
                call.digest(),
                claimId(requestId),
                services.entry().self(),
                nowEpochMs + SEND_WINDOW_MS,
                nowEpochMs);
        try {
            return read(services.control().submit(command, deadlineNanos), call, deadlineNanos);
        } catch (WigeongradeException failure) {
            if (failure.kind() == ErrorKind.OUTCOME_UNKNOWN) {
                services.workers().execute(() -> finish(call, requestId, RunClaim.NOT_RUN, Optional.empty()));
            }
            return new Outcome.Refused(new WigeongradeException(
                    ErrorKind.CONTROL_UNAVAILABLE, "the call could not be claimed: " + failure.getMessage(), failure));
        }
    }

    /** Records the outcome; returns whether the record is committed. */
    boolean finish(ServiceCall call, RequestId requestId, RunClaim outcome, Optional<StoredAnswer> answer) {
        final boolean storable = answer.filter(stored -> stored.body().length <= MAX_STORED_BYTES)
                .isPresent();
        final RunClaim recorded = outcome == RunClaim.COMPLETED && !storable ? RunClaim.UNKNOWN : outcome;
        final Command command = new Command.FinishClaim(
                call.organisation(),
                call.idempotencyKey().orElseThrow(),
                claimId(requestId),
                recorded,
                storable ? answer.get() : null,
                services.epochMsClock().getAsLong());
        try {
            final long deadlineNanos = services.entry().nowNanos() + TimeUnit.MILLISECONDS.toNanos(FINISH_TIMEOUT_MS);
            return services.control().submit(command, deadlineNanos) instanceof CommandResult.Accepted;
        } catch (WigeongradeException failure) {
            services.events()
                    .write(
                            LogEvent.CLAIM_UNKNOWN,
                            call.idempotencyKey().orElseThrow(),
                            call.organisation(),
                            failure.getMessage());
            return false;
        }
    }

    /** Returns an id of this claim alone; callers may send two copies of a request with one request id. */
    private RequestId claimId(RequestId requestId) {
        final String value = requestId.value();
        return new RequestId(value.substring(0, Math.min(value.length(), MAX_ID_PREFIX)) + "." + nonce);
    }

    private Outcome read(CommandResult result, ServiceCall call, long deadlineNanos) {
        if (result instanceof CommandResult.AlreadyAnswered answered) {
            return new Outcome.Answered(answered.answer());
        }
        if (result instanceof CommandResult.Refused refused) {
            return new Outcome.Refused(new WigeongradeException(refused.kind(), refused.message()));
        }
        services.events().write(LogEvent.CLAIM_COMMITTED, call.idempotencyKey().orElseThrow(), call.organisation());
        return new Outcome.Claimed(deadlineNanos);
    }
}
