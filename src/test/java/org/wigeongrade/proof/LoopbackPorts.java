package org.wigeongrade.proof;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates free loopback ports below the range of ephemeral ports that the system uses for outgoing connections.
 *
 * <p>Invariant: no port is allocated twice in one process. Safe for use from any thread.
 */
public final class LoopbackPorts {
    private static final int LOWEST = 10_000;
    private static final int HIGHEST = 32_000;
    private static final Set<Integer> ALLOCATED = new HashSet<>();

    private LoopbackPorts() {}

    /** Allocates a free port. */
    public static int allocate() {
        return allocateRange(1);
    }

    /** Allocates {@code count} consecutive free ports and returns the first. */
    public static synchronized int allocateRange(int count) {
        while (true) {
            int first = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST - count);
            if (isRangeFree(first, count)) {
                for (int port = first; port < first + count; port++) {
                    ALLOCATED.add(port);
                }
                return first;
            }
        }
    }

    private static boolean isRangeFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            if (ALLOCATED.contains(port) || !isFree(port)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
