package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.StoredResponse;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.RequestId;

/**
 * The claim of one idempotency key: who may send the request, once, and how that send ended.
 *
 * <p>Invariant: {@code outcome} is null until the outcome of the send is recorded, then UNKNOWN or COMPLETED.
 * {@code answer} is the stored response; it is set only for COMPLETED, and is dropped when newer responses need its
 * space. The send may start until {@code sendDeadlineEpochMs} and has ended by {@code outcomeDeadlineEpochMs}.
 * Immutable; safe for use from any thread.
 */
public record Claim(
        OrganisationName organisation,
        String idempotencyKey,
        String requestDigest,
        RequestId requestId,
        NodeName entryVm,
        long sendDeadlineEpochMs,
        long outcomeDeadlineEpochMs,
        long retainUntilEpochMs,
        RunStatus outcome,
        StoredResponse answer) {
    /** Returns a copy of this claim with the outcome of its send, kept until {@code retainUntilEpochMs}. */
    Claim finished(RunStatus outcome, StoredResponse answer, long retainUntilEpochMs) {
        return new Claim(
                organisation,
                idempotencyKey,
                requestDigest,
                requestId,
                entryVm,
                sendDeadlineEpochMs,
                outcomeDeadlineEpochMs,
                retainUntilEpochMs,
                outcome,
                answer);
    }

    /** Returns whether the command is a repeat of the proposal that made this claim. */
    boolean isMadeBy(Command.ClaimRequest command) {
        return requestId.equals(command.requestId()) && entryVm.equals(command.entryVm());
    }

    /** Returns whether the send may still be running at {@code nowEpochMs}. */
    boolean isInProgress(long nowEpochMs) {
        return outcome == null && nowEpochMs <= outcomeDeadlineEpochMs;
    }
}
