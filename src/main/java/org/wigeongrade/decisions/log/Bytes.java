package org.wigeongrade.decisions.log;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/**
 * A sequence of bytes with value equality.
 *
 * <p>Invariant: the array is never modified after it was wrapped. Immutable by that convention; safe for use from any
 * thread.
 */
public final class Bytes {
    /** The empty sequence. */
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    private final byte[] array;

    private Bytes(byte[] array) {
        this.array = array;
    }

    /** Wraps the array without copying it; the caller must not modify it afterwards. */
    @JsonCreator
    public static Bytes wrap(byte[] array) {
        return new Bytes(array);
    }

    /** Returns the wrapped array, not a copy; the caller must not modify it. */
    @JsonValue
    public byte[] array() {
        return array;
    }

    public int sizeBytes() {
        return array.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes bytes && Arrays.equals(array, bytes.array);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(array);
    }

    @Override
    public String toString() {
        return array.length + " bytes";
    }
}
