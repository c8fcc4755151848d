package org.wigeongrade.errors;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Unchecked exception with a code from the closed list of error kinds. Immutable; safe for use from any thread. */
public final class WigeongradeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final long retryAfterMs;
    private final transient ImmutableList<ErrorDetail> details;

    /** Creates an exception with the default retry delay of the kind. */
    public WigeongradeException(ErrorKind kind, String message) {
        this(kind, message, kind.retryAfterMs(), null);
    }

    /** Creates an exception with a cause and the default retry delay of the kind. */
    public WigeongradeException(ErrorKind kind, String message, Throwable cause) {
        this(kind, message, kind.retryAfterMs(), cause);
    }

    /** Creates an exception with a given retry delay in milliseconds. */
    public WigeongradeException(ErrorKind kind, String message, long retryAfterMs, Throwable cause) {
        super(message, cause);
        this.kind = kind;
        this.retryAfterMs = retryAfterMs;
        this.details = ImmutableList.of();
    }

    /** Creates an exception that lists several faults at once. */
    public WigeongradeException(ErrorKind kind, String message, List<ErrorDetail> details) {
        super(message);
        this.kind = kind;
        this.retryAfterMs = kind.retryAfterMs();
        this.details = ImmutableList.copyOf(details);
    }

    /** Returns the individual faults; empty unless the exception was created with a list of them. */
    public ImmutableList<ErrorDetail> details() {
        return details;
    }

    /** Returns the kind, which determines the error response. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns the retry delay for the caller in milliseconds, or 0 if a retry does not help. */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
