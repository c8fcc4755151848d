package org.wigeongrade.fleet.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on the bytes that a process holds for one purpose.
 *
 * <p>Invariant: never more than {@code maxBytes} are reserved. Thread safe.
 */
public final class MemoryBudget {
    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes; returns false and reserves none if the limit would be exceeded. */
    public boolean tryReserve(long bytes) {
        final long before = reservedBytes.getAndUpdate(held -> held + bytes > maxBytes ? held : held + bytes);
        return before + bytes <= maxBytes;
    }

    /** Frees bytes that were reserved. */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    /** Returns the number of reserved bytes. */
    public long reservedBytes() {
        return reservedBytes.get();
    }
}
