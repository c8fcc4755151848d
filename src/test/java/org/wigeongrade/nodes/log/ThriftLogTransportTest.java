package org.wigeongrade.nodes.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Sets;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.proof.LoopbackPorts;

/** Tests the listener of the log's transport, which is restarted on its port again and again. */
final class ThriftLogTransportTest {
    private static final int RESTARTS = 300;
    private static final int BUSY_THREADS_PER_PROCESSOR = 2;
    private static final long END_TIMEOUT_MS = 5_000;

    /** Guards against a replica that cannot start again because its earlier listener still holds the port. */
    @Test
    void portIsFreeOnceTheTransportIsClosed() throws Exception {
        InetSocketAddress address = freeAddress();
        AtomicBoolean busy = new AtomicBoolean(true);
        List<Thread> load = startBusyThreads(busy);
        int restarts = 0;
        try {
            while (restarts < RESTARTS) {
                start(address).close();
                restarts++;
            }
        } finally {
            busy.set(false);
            for (Thread thread : load) {
                thread.join();
            }
        }
        assertThat(restarts).isEqualTo(RESTARTS);
    }

    /** Guards against an accepting thread that runs for ever, logging a warning each time, after a close at the start. */
    @Test
    void transportThatIsClosedAsItStartsAcceptsNoLonger() throws Exception {
        Set<Thread> earlier = acceptingThreads();
        InetSocketAddress address = freeAddress();
        for (int i = 0; i < RESTARTS; i++) {
            start(address).close();
        }
        for (Thread thread : Sets.difference(acceptingThreads(), earlier)) {
            thread.join(END_TIMEOUT_MS);
            assertWithMessage("a thread still accepts").that(thread.isAlive()).isFalse();
        }
    }

    private static Set<Thread> acceptingThreads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals("log-accept"))
                .collect(Collectors.toUnmodifiableSet());
    }

    private static ThriftLogTransport start(InetSocketAddress address) {
        return ThriftLogTransport.start(
                NodeName.of("control-1"), address, peer -> Optional.empty(), (sender, message) -> {});
    }

    private static List<Thread> startBusyThreads(AtomicBoolean busy) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < BUSY_THREADS_PER_PROCESSOR * Runtime.getRuntime().availableProcessors(); i++) {
            Thread thread = new Thread(() -> {
                while (busy.get()) {
                    Thread.onSpinWait();
                }
            });
            threads.add(thread);
            thread.start();
        }
        return threads;
    }

    /** Returns an address whose port no socket gets by chance while its listener is restarted. */
    private static InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), LoopbackPorts.allocate());
    }
}
