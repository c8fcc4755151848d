package org.wigeongrade.nodes.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.decisions.log.Position;
import org.wigeongrade.ids.NodeName;

final class PeerSenderTest {
    private static final int CAPACITY = 256;
    private static final int RESEND_MS = 100;
    private static final int RESENDS = 50;

    @Test
    void aConnectionThatGoesSilentIsReplaced() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(5_000);
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            try (PeerSender sender = new PeerSender(NodeName.of("a"), NodeName.of("b"), address)) {
                sender.send(new LogMessage.TransferLeadership(1, 1));
                try (Socket silent = server.accept()) {
                    silent.setSoTimeout(5_000);
                    readToEnd(silent);
                    try (Socket next = acceptWhileSending(server, sender)) {
                        assertThat(next.getPort()).isNotEqualTo(silent.getPort());
                    }
                }
            }
            server.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, server::accept);
        }
    }

    @Test
    void aFullQueueDropsTheOldestHeartbeatFirst() throws InterruptedException {
        PeerQueue queue = new PeerQueue();
        LogMessage first = new LogMessage.TransferLeadership(1, 1);
        queue.add(first);
        for (int i = 0; i < CAPACITY; i++) {
            queue.add(heartbeat(i));
        }
        List<LogMessage> kept = new ArrayList<>(queue.take(0));
        assertThat(kept).hasSize(CAPACITY);
        assertThat(kept.get(0)).isEqualTo(first);
        assertThat(kept.get(1)).isEqualTo(heartbeat(1));
    }

    /**
     * Sends a message again and again, like heartbeats, since messages queued while the peer cannot be reached are
     * dropped.
     */
    private static Socket acceptWhileSending(ServerSocket server, PeerSender sender) throws IOException {
        server.setSoTimeout(RESEND_MS);
        for (int attempt = 0; attempt < RESENDS; attempt++) {
            sender.send(new LogMessage.TransferLeadership(2, 1));
            try {
                return server.accept();
            } catch (SocketTimeoutException notYet) {
                assertThat(notYet).isNotNull();
            }
        }
        throw new AssertionError("no new connection within " + RESENDS * RESEND_MS + " ms");
    }

    private static void readToEnd(Socket socket) throws IOException {
        byte[] read = socket.getInputStream().readAllBytes();
        assertThat(read.length).isGreaterThan(0);
    }

    private static LogMessage heartbeat(long sentNanos) {
        return new LogMessage.AppendRequest(1, Position.START, ImmutableList.of(), 0, sentNanos);
    }
}
