package org.wigeongrade.errors;

/** What an answer may tell the caller about whether its request ran at an endpoint. */
public enum RunClaim {
    /** No byte of the request left this system, or the endpoint stated that it refused the request before running it. */
    NOT_RUN,
    /** The request may have run; it must not be repeated unless it is idempotent. */
    UNKNOWN,
    /** The request ran and its whole answer is known. */
    COMPLETED;

    /** Returns the value of the {@code X-Wigeongrade-Run} answer header. */
    public String headerValue() {
        return switch (this) {
            case NOT_RUN -> "not-run";
            case UNKNOWN -> "unknown";
            case COMPLETED -> "completed";
        };
    }
}
