package org.wigeongrade.fleet.net;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** Limits on what a process holds for clients, derived from its own memory and descriptors. Stateless. */
public final class ClientLimits {
    /** Fraction of the heap that may be held for clients; the rest is for everything else that the process does. */
    private static final int HEAP_DIVISOR = 4;
    /** Fraction of the descriptors that clients' connections may take; the rest is for endpoints, nodes and files. */
    private static final int DESCRIPTOR_DIVISOR = 2;

    private ClientLimits() {}

    /** Returns the bytes that may be held for clients: {@code configuredBytes}, or less in a small heap. */
    public static long heldBytes(long configuredBytes) {
        return Math.min(configuredBytes, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Returns how many connections clients may have.
     *
     * @param configuredDescriptors descriptors that the VM gives to the process; the system's own limit goes first if it
     *     is smaller
     */
    public static int connections(long configuredDescriptors) {
        final long descriptors =
                ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                        ? Math.min(configuredDescriptors, system.getMaxFileDescriptorCount())
                        : configuredDescriptors;
        return (int) Math.max(1, descriptors / DESCRIPTOR_DIVISOR);
    }
}
