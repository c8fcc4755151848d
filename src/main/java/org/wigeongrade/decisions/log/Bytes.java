package org.wigeongrade.decisions.log;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/**
 * A sequence of bytes with value equality.
 *
 * <p>Invariant: nobody changes the array after it was handed over. Immutable by that rule; safe for use from any thread.
 */
public final class Bytes {
    /** No bytes. */
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    private final byte[] array;

    private Bytes(byte[] array) {
        this.array = array;
    }

    /** Wraps the array without a copy; the caller gives it up. */
    @JsonCreator
    public static Bytes wrap(byte[] array) {
        return new Bytes(array);
    }

    /** Returns the array itself; the caller must not change it. */
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
