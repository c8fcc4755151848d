package org.wigeongrade.errors;

import java.util.Locale;

/**
 * The closed list of error kinds, with the response that a caller or operator gets for each.
 *
 * <p>Invariant: docs/ERRORS.md and the refusal counters list the same kinds. Immutable; safe for use from any thread.
 */
public enum ErrorKind {
    MALFORMED_REQUEST(400, RunStatus.NOT_RUN, 0, "The request cannot be read; correct it as the message says."),
    UNAUTHENTICATED(401, RunStatus.NOT_RUN, 0, "Send the bearer key of a declared organisation."),
    NOT_FOUND(404, RunStatus.NOT_RUN, 0, "Name a declared model, service or object."),
    METHOD_NOT_ALLOWED(405, RunStatus.NOT_RUN, 0, "Use a method that this path supports."),
    REQUEST_TOO_SLOW(408, RunStatus.NOT_RUN, 0, "Send the whole request body before the read deadline."),
    REVISION_CONFLICT(409, RunStatus.NOT_RUN, 0, "Read the current revision and apply the change to it."),
    REQUEST_IN_PROGRESS(409, RunStatus.UNKNOWN, 1_000, "The first request with this idempotency key is still running."),
    BODY_TOO_LARGE(413, RunStatus.NOT_RUN, 0, "Send a smaller body."),
    INVALID_CONFIGURATION(422, RunStatus.NOT_RUN, 0, "Correct every listed fault and apply the whole set again."),
    IDEMPOTENCY_KEY_REUSED(422, RunStatus.NOT_RUN, 0, "Use a new idempotency key for a different request."),
    REQUEST_QUARANTINED(422, RunStatus.NOT_RUN, 0, "This request crashed endpoints; change it or ask an operator."),
    ORGANISATION_LIMIT(429, RunStatus.NOT_RUN, 500, "The organisation has reached its limit; retry later."),
    STOPPING(503, RunStatus.NOT_RUN, 100, "This entry VM is stopping; retry on another one."),
    NO_VIEW_LEASE(
            503, RunStatus.NOT_RUN, 1_000, "This entry VM is cut off from the control VMs; retry on another one."),
    CONTROL_UNAVAILABLE(503, RunStatus.NOT_RUN, 1_000, "No leader of the control VMs answered in time."),
    NO_WHOLE_GROUP(503, RunStatus.NOT_RUN, 2_000, "No complete group or service replica can serve this now."),
    NO_ENDPOINT_REACHABLE(503, RunStatus.NOT_RUN, 100, "This entry VM reaches no endpoint; retry on another one."),
    NO_FREE_SLOT(503, RunStatus.NOT_RUN, 500, "Every endpoint that can serve this is at its capacity."),
    ENDPOINTS_PAUSED(503, RunStatus.NOT_RUN, 1_000, "Every endpoint that can serve this asked for a pause."),
    NO_MEMORY(503, RunStatus.NOT_RUN, 500, "This VM holds as many request bytes as it may; retry on another one."),
    SUSPECT_WAITING(
            503,
            RunStatus.NOT_RUN,
            1_000,
            "An endpoint was lost while running this request; its next attempt runs alone."),
    RETRY_BUDGET_SPENT(
            503, RunStatus.NOT_RUN, 1_000, "Endpoints refuse too many requests; the retry budget is used up."),
    ENDPOINT_REFUSED(503, RunStatus.NOT_RUN, 500, "The endpoint refused the request before running it."),
    ENDPOINT_UNREACHABLE(503, RunStatus.NOT_RUN, 500, "No connection to the endpoint could be opened."),
    ENDPOINT_FAILED(502, RunStatus.UNKNOWN, 0, "The endpoint failed while it may have been running the request."),
    ANSWER_CUT_SHORT(502, RunStatus.UNKNOWN, 0, "The endpoint's response ended before it was complete."),
    ANSWER_MISMATCHED(502, RunStatus.UNKNOWN, 0, "The endpoint's response belongs to another request."),
    OUTCOME_UNKNOWN(502, RunStatus.UNKNOWN, 0, "The request was sent once and its outcome is not known."),
    ENDPOINT_TIMEOUT(504, RunStatus.UNKNOWN, 0, "The endpoint did not respond before the deadline."),
    DISK_FAILED(500, RunStatus.UNKNOWN, 0, "The data folder failed; see the log of this VM."),
    INTERNAL(500, RunStatus.UNKNOWN, 0, "Internal error; report it with the request id.");

    private final int httpStatus;
    private final RunStatus runStatus;
    private final long retryAfterMs;
    private final String fix;

    ErrorKind(int httpStatus, RunStatus runStatus, long retryAfterMs, String fix) {
        this.httpStatus = httpStatus;
        this.runStatus = runStatus;
        this.retryAfterMs = retryAfterMs;
        this.fix = fix;
    }

    /** Returns the code used in responses, metrics and docs, for example {@code no_free_slot}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the HTTP status of the response. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns what the response states about whether the request was run. */
    public RunStatus runStatus() {
        return runStatus;
    }

    /** Returns the default retry delay in milliseconds, or 0 if a retry does not help. */
    public long retryAfterMs() {
        return retryAfterMs;
    }

    /** Returns one sentence that tells the caller or operator what is wrong or what to do. */
    public String fix() {
        return fix;
    }
}
