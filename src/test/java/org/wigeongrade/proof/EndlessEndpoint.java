package org.wigeongrade.proof;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * An endpoint that answers every request with a beginning and then the same bytes again and again, until its connection
 * is closed, and counts what it could send. Thread safe.
 *
 * <p>Invariant: it sends at most {@link #MAX_BYTES} on one connection, so that a caller without a limit does not keep a
 * test from ending.
 */
public final class EndlessEndpoint implements AutoCloseable {
    /** Far above every limit of this system, and above the heap of a process under test. */
    public static final long MAX_BYTES = 256L * 1024 * 1024;

    private static final int BLOCK_BYTES = 8 * 1024;
    private static final String ORDER = "POST /v1/orders ";
    private static final String ORDER_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    private record Request(String head, String body) {}

    private final ServerSocket server;
    private final Consumer<String> onOrder;
    private final byte[] begin;
    private final byte[] block;
    private final AtomicInteger started = new AtomicInteger();
    private final AtomicInteger closedByCaller = new AtomicInteger();
    private final AtomicLong sentBytes = new AtomicLong();

    /**
     * Listens on a free port of the loopback address.
     *
     * @param begin what each response begins with
     * @param repeated what follows without end
     */
    public EndlessEndpoint(String begin, String repeated) throws IOException {
        this(begin, repeated, order -> {});
    }

    /** Listens as above; {@code onOrder} gets the body of each order, which is answered as carried out. */
    EndlessEndpoint(String begin, String repeated, Consumer<String> onOrder) throws IOException {
        this.onOrder = onOrder;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.begin = begin.getBytes(StandardCharsets.US_ASCII);
        this.block = repeated.repeat(1 + BLOCK_BYTES / repeated.length()).getBytes(StandardCharsets.US_ASCII);
        daemon(this::acceptAll);
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Returns the number of responses that were begun. */
    public int started() {
        return started.get();
    }

    /** Returns the number of responses whose connection the caller has closed. */
    public int closedByCaller() {
        return closedByCaller.get();
    }

    /** Returns the bytes of all responses together that the network has taken. */
    public long sentBytes() {
        return sentBytes.get();
    }

    private static void daemon(Runnable task) {
        final Thread thread = new Thread(task, "endless-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                final Socket connection = server.accept();
                daemon(() -> respond(connection));
            }
        } catch (IOException e) {
            if (!server.isClosed()) {
                throw new IllegalStateException(e);
            }
        }
    }

    private void respond(Socket connection) {
        try (connection) {
            final Optional<Request> request = readRequest(connection.getInputStream());
            if (request.isEmpty()) {
                return;
            }
            if (request.get().head().startsWith(ORDER)) {
                onOrder.accept(request.get().body());
                connection.getOutputStream().write(ORDER_RESPONSE.getBytes(StandardCharsets.US_ASCII));
                return;
            }
            started.incrementAndGet();
            final OutputStream out = connection.getOutputStream();
            out.write(begin);
            long sent = 0;
            while (sent < MAX_BYTES) {
                out.write(block);
                sent += block.length;
                sentBytes.addAndGet(block.length);
            }
            // Keeps the connection open, so that an end is the caller's.
            Uninterruptibles.sleepUninterruptibly(1, TimeUnit.HOURS);
        } catch (SocketException e) {
            closedByCaller.incrementAndGet();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads a request with its body; empty if the connection was opened as a probe only. */
    private static Optional<Request> readRequest(InputStream in) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int next = in.read();
            if (next < 0) {
                return Optional.empty();
            }
            head.append((char) next);
        }
        final String lengthField = "content-length:";
        final String lower = head.toString().toLowerCase(Locale.ROOT);
        final int at = lower.indexOf(lengthField);
        if (at < 0) {
            return Optional.of(new Request(head.toString(), ""));
        }
        final String rest = lower.substring(at + lengthField.length());
        final byte[] body = in.readNBytes(
                Integer.parseInt(rest.substring(0, rest.indexOf('\r')).strip()));
        return Optional.of(new Request(head.toString(), new String(body, StandardCharsets.UTF_8)));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
