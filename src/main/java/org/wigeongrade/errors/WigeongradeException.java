package org.wigeongrade.errors;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Unchecked exception with a code from the closed list of error kinds. Immutable; safe for use from any thread. */
public final class WigeongradeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final long retryAfterMs;
    private final transient ImmutableList<ErrorDetail> details;

    /** Creates an error with the kind's own time to come back. */
    public WigeongradeException(ErrorKind kind, String message) {
        this(kind, message, kind.retryAfterMs(), null);
    }

    /** Creates an error with a cause and the kind's own time to come back. */
    public WigeongradeException(ErrorKind kind, String message, Throwable cause) {
        this(kind, message, kind.retryAfterMs(), cause);
    }

    /** Creates an error with a time to come back, in milliseconds. */
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

    /** Returns the single faults, if there are several. */
    public ImmutableList<ErrorDetail> details() {
        return details;
    }

    /** Returns the kind, which decides the answer. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns the time after which the caller may come back, in milliseconds; 0 if coming back does not help. */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
