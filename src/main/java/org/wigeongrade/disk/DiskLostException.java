package org.wigeongrade.disk;

/**
 * Tells that the data folder lost or damaged something it had promised to keep, so that its incarnation must never vote
 * again. Immutable; safe for use from any thread.
 */
public final class DiskLostException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public DiskLostException(String message) {
        super(message);
    }

    public DiskLostException(String message, Throwable cause) {
        super(message, cause);
    }
}
