package org.wigeongrade.callers;

import java.io.ByteArrayOutputStream;

/**
 * The body of an endpoint's response that is held until it is complete.
 *
 * <p>Invariant: it never holds more than {@link #MAX_BYTES}. Not thread safe; used by one response's listener.
 */
final class HeldBody {
    /** Longest body that is held, in bytes; a longer one is given up. */
    static final int MAX_BYTES = 8 * 1024 * 1024;

    private final ByteArrayOutputStream held = new ByteArrayOutputStream();

    /** Adds the next bytes; returns false and adds none if the body would become too long. */
    boolean append(byte[] bytes) {
        if ((long) held.size() + bytes.length > MAX_BYTES) {
            return false;
        }
        held.writeBytes(bytes);
        return true;
    }

    byte[] toByteArray() {
        return held.toByteArray();
    }
}
