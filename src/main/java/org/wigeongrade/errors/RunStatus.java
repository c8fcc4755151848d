package org.wigeongrade.errors;

/** Whether a request ran on an endpoint, as far as this system knows. */
public enum RunStatus {
    /**
     * No byte of the request left this system, or the endpoint stated that it refused the request before running it.
     */
    NOT_RUN,
    /** The request may have run; it must not be repeated unless it is idempotent. */
    UNKNOWN,
    /** The request ran and its complete response is known. */
    COMPLETED;

    /** Returns the value of the {@code X-Wigeongrade-Run} response header. */
    public String headerValue() {
        return switch (this) {
            case NOT_RUN -> "not-run";
            case UNKNOWN -> "unknown";
            case COMPLETED -> "completed";
        };
    }
}
