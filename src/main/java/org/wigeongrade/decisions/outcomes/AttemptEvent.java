package org.wigeongrade.decisions.outcomes;

import java.util.Locale;
import java.util.Optional;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunClaim;

/** How an attempt ended; each end has exactly one claim on whether the request ran. */
public enum AttemptEvent {
    /** The last check before the send refused it. */
    NOT_SENT(RunClaim.NOT_RUN, ErrorKind.NO_VIEW_LEASE),
    /** No connection to the endpoint could be opened. */
    CONNECT_FAILED(RunClaim.NOT_RUN, ErrorKind.ENDPOINT_UNREACHABLE),
    /** The connection failed before a byte of the request was given to it. */
    FAILED_BEFORE_FIRST_BYTE(RunClaim.NOT_RUN, ErrorKind.ENDPOINT_UNREACHABLE),
    /** The endpoint stated that it refused the request before running any of it. */
    REFUSED_NOT_RUN(RunClaim.NOT_RUN, ErrorKind.ENDPOINT_REFUSED),
    /** The whole answer to this attempt came. */
    ANSWERED(RunClaim.COMPLETED, null),
    /** The connection failed after bytes of the request were given to it and before an answer began. */
    FAILED_AFTER_FIRST_BYTE(RunClaim.UNKNOWN, ErrorKind.ENDPOINT_FAILED),
    /** The answer carries the id of another attempt. */
    ANSWER_MISMATCHED(RunClaim.UNKNOWN, ErrorKind.ANSWER_MISMATCHED),
    /** The answer ended before it was whole. */
    CUT_SHORT(RunClaim.UNKNOWN, ErrorKind.ANSWER_CUT_SHORT),
    /** The answer began and then no byte came until the stall deadline. */
    STALLED(RunClaim.UNKNOWN, ErrorKind.ANSWER_CUT_SHORT),
    /** No answer began before the deadline. */
    TIMED_OUT(RunClaim.UNKNOWN, ErrorKind.ENDPOINT_TIMEOUT),
    /** The caller went away after bytes of the request were sent, and the attempt was cancelled. */
    CANCELLED(RunClaim.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN);

    private final RunClaim claim;
    private final ErrorKind errorKind;

    AttemptEvent(RunClaim claim, ErrorKind errorKind) {
        this.claim = claim;
        this.errorKind = errorKind;
    }

    /** Returns what may be said about whether the request ran. */
    public RunClaim claim() {
        return claim;
    }

    /** Returns the kind of error for the caller; empty for a whole answer. */
    public Optional<ErrorKind> errorKind() {
        return Optional.ofNullable(errorKind);
    }

    /** Returns whether the endpoint may have crashed while it ran the request. */
    public boolean mayBeCrash() {
        return switch (this) {
            case FAILED_AFTER_FIRST_BYTE, CUT_SHORT -> true;
            default -> false;
        };
    }

    /** Returns whether the connection may carry another request. */
    public boolean leavesConnectionUsable() {
        return this == ANSWERED || this == REFUSED_NOT_RUN;
    }

    /** Returns the code as it stands in counters and docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
