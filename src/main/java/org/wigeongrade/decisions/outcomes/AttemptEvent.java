package org.wigeongrade.decisions.outcomes;

import java.util.Locale;
import java.util.Optional;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;

/** How an attempt ended; each value determines exactly one {@link RunStatus} of the request. */
public enum AttemptEvent {
    /** The final check before sending refused the request. */
    NOT_SENT(RunStatus.NOT_RUN, ErrorKind.NO_VIEW_LEASE),
    /** No connection to the endpoint could be opened. */
    CONNECT_FAILED(RunStatus.NOT_RUN, ErrorKind.ENDPOINT_UNREACHABLE),
    /** The connection failed before any byte of the request was handed to it. */
    FAILED_BEFORE_FIRST_BYTE(RunStatus.NOT_RUN, ErrorKind.ENDPOINT_UNREACHABLE),
    /** The endpoint stated that it refused the request before running any of it. */
    REFUSED_NOT_RUN(RunStatus.NOT_RUN, ErrorKind.ENDPOINT_REFUSED),
    /** The complete response to this attempt was received. */
    ANSWERED(RunStatus.COMPLETED, null),
    /** The connection failed after bytes of the request were handed to it and before a response started. */
    FAILED_AFTER_FIRST_BYTE(RunStatus.UNKNOWN, ErrorKind.ENDPOINT_FAILED),
    /** The response carries the id of another attempt. */
    ANSWER_MISMATCHED(RunStatus.UNKNOWN, ErrorKind.ANSWER_MISMATCHED),
    /** The response ended before it was complete. */
    CUT_SHORT(RunStatus.UNKNOWN, ErrorKind.ANSWER_CUT_SHORT),
    /** The response started, but then no byte arrived until the stall deadline. */
    STALLED(RunStatus.UNKNOWN, ErrorKind.ANSWER_CUT_SHORT),
    /** No response started before the deadline. */
    TIMED_OUT(RunStatus.UNKNOWN, ErrorKind.ENDPOINT_TIMEOUT),
    /** The caller disconnected after bytes of the request were sent, and the attempt was cancelled. */
    CANCELLED(RunStatus.UNKNOWN, ErrorKind.OUTCOME_UNKNOWN);

    private final RunStatus runStatus;
    private final ErrorKind errorKind;

    AttemptEvent(RunStatus runStatus, ErrorKind errorKind) {
        this.runStatus = runStatus;
        this.errorKind = errorKind;
    }

    /** Returns what is known about whether the request ran. */
    public RunStatus runStatus() {
        return runStatus;
    }

    /** Returns the kind of error to report to the caller; empty for a complete response. */
    public Optional<ErrorKind> errorKind() {
        return Optional.ofNullable(errorKind);
    }

    /** Returns whether the endpoint may have crashed while it was running the request. */
    public boolean mayIndicateCrash() {
        return switch (this) {
            case FAILED_AFTER_FIRST_BYTE, CUT_SHORT -> true;
            default -> false;
        };
    }

    /** Returns whether the connection can be reused for another request. */
    public boolean leavesConnectionUsable() {
        return this == ANSWERED || this == REFUSED_NOT_RUN;
    }

    /** Returns the code used in counters and docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
