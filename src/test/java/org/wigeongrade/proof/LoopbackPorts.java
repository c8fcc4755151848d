package org.wigeongrade.proof;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Gives out free loopback ports below the range from which the system takes ports of outgoing connections.
 *
 * <p>Invariant: one process gets no port twice. Safe for use from any thread.
 */
public final class LoopbackPorts {
    private static final int LOWEST = 10_000;
    private static final int HIGHEST = 32_000;
    private static final Set<Integer> GIVEN = new HashSet<>();

    private LoopbackPorts() {}

    /** Returns a free port. */
    public static int free() {
        return freeRow(1);
    }

    /** Returns the first of {@code count} consecutive free ports. */
    public static synchronized int freeRow(int count) {
        while (true) {
            int first = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST - count);
            if (isFreeRow(first, count)) {
                for (int port = first; port < first + count; port++) {
                    GIVEN.add(port);
                }
                return first;
            }
        }
    }

    private static boolean isFreeRow(int first, int count) {
        for (int port = first; port < first + count; port++) {
            if (GIVEN.contains(port) || !isFree(port)) {
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
