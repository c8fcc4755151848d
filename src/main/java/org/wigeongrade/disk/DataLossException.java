package org.wigeongrade.disk;

/**
 * Thrown if data that the data folder had stored durably is missing or damaged. The incarnation of such a folder must
 * never vote again. Immutable; safe for use from any thread.
 */
public final class DataLossException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public DataLossException(String message) {
        super(message);
    }

    public DataLossException(String message, Throwable cause) {
        super(message, cause);
    }
}
