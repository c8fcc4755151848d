package org.wigeongrade.responses;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An endpoint that answers every request with the same bytes, each on its own connection. Thread safe. */
public final class ScriptedEndpoint implements AutoCloseable {
    /** Long enough for a reader to take all that was sent before. */
    private static final long READ_WITHIN_MS = 400;

    private static final int BACKLOG = 50;
    private static final String LENGTH_FIELD = "content-length:";

    /** What follows the bytes of a response. */
    public enum End {
        STAYS_OPEN {
            @Override
            void apply(Socket connection) throws IOException {
                connection.setSoTimeout(0);
                final long unused = connection.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
            }
        },
        CLOSED {
            @Override
            void apply(Socket connection) throws IOException {
                connection.close();
            }
        },
        /** The request's body is not read, and its connection is reset while it is being written. */
        RESET_DURING_UPLOAD {
            @Override
            boolean readsBody() {
                return false;
            }

            @Override
            void apply(Socket connection) throws IOException {
                Uninterruptibles.sleepUninterruptibly(READ_WITHIN_MS, TimeUnit.MILLISECONDS);
                connection.setSoLinger(true, 0);
                connection.close();
            }
        };

        boolean readsBody() {
            return true;
        }

        abstract void apply(Socket connection) throws IOException;
    }

    private final ServerSocket server;
    private final byte[] response;
    private final byte[] later;
    private final End end;
    private final AtomicInteger requests = new AtomicInteger();

    /** Listens on a free port of the loopback address; each character of {@code response} is sent as one byte. */
    public ScriptedEndpoint(String response, End end) throws IOException {
        this(response, "", end);
    }

    /** Listens as above; {@code later} is sent so late that it is read after {@code response}. */
    public ScriptedEndpoint(String response, String later, End end) throws IOException {
        this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        this.response = response.getBytes(StandardCharsets.ISO_8859_1);
        this.later = later.getBytes(StandardCharsets.ISO_8859_1);
        this.end = end;
        startThread(this::acceptAll);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Returns the number of requests whose head arrived. */
    public int requests() {
        return requests.get();
    }

    private static void startThread(Runnable task) {
        final Thread thread = new Thread(task, "scripted-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                final Socket connection = server.accept();
                startThread(() -> respond(connection));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    private void respond(Socket connection) {
        try (connection) {
            final InputStream in = connection.getInputStream();
            final int bodyBytes = readHead(in);
            if (bodyBytes < 0) {
                return;
            }
            requests.incrementAndGet();
            if (end.readsBody()) {
                final byte[] unused = in.readNBytes(bodyBytes);
            }
            connection.getOutputStream().write(response);
            if (later.length > 0) {
                Uninterruptibles.sleepUninterruptibly(READ_WITHIN_MS, TimeUnit.MILLISECONDS);
                connection.getOutputStream().write(later);
            }
            end.apply(connection);
        } catch (IOException e) {
            // The reader has closed the connection, which is what a broken response calls for.
        }
    }

    /** Returns the length of the request's body, or -1 if the connection ended before a request. */
    private static int readHead(InputStream in) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int next = in.read();
            if (next < 0) {
                return -1;
            }
            head.append((char) next);
        }
        final String lower = head.toString().toLowerCase(Locale.ROOT);
        final int at = lower.indexOf(LENGTH_FIELD);
        if (at < 0) {
            return 0;
        }
        final int from = at + LENGTH_FIELD.length();
        return Integer.parseInt(lower.substring(from, lower.indexOf('\r', from)).strip());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
