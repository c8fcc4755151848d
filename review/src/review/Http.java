package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Minimal HTTP/1.1 over plain sockets, so that a case controls every byte. */
final class Http {
    private Http() {}

    /** Start line, headers and body of a message. {@code complete} is false if the connection ended too early. */
    record Message(String startLine, List<String[]> headers, byte[] body, boolean complete) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        Optional<String> header(String name) {
            return headers.stream()
                    .filter(header -> header[0].equalsIgnoreCase(name))
                    .map(header -> header[1])
                    .findFirst();
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A client connection that may be kept open for many requests. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Connection(String ip, int port, int receiveBufferBytes) throws IOException {
            if (receiveBufferBytes > 0) {
                socket.setReceiveBufferSize(receiveBufferBytes);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(20_000);
            in = new BufferedInputStream(socket.getInputStream(), 4_096);
            out = socket.getOutputStream();
        }

        Connection(String ip, int port) throws IOException {
            this(ip, port, 0);
        }

        void send(String head, byte[] body) throws IOException {
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.getBytes(StandardCharsets.UTF_8));
            bytes.write(body);
            out.write(bytes.toByteArray());
            out.flush();
        }

        OutputStream out() {
            return out;
        }

        InputStream in() {
            return in;
        }

        /** Reads a response; empty if the connection ended before its first byte. */
        Optional<Message> receive() throws IOException {
            return read(in, true);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static Optional<Message> read(InputStream in, boolean response) throws IOException {
        final List<String[]> headers = new ArrayList<>();
        final String startLine;
        try {
            startLine = readLine(in);
            if (startLine == null) {
                return Optional.empty();
            }
            for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
                if (line == null) {
                    return Optional.of(new Message(startLine, headers, new byte[0], false));
                }
                final int colon = line.indexOf(':');
                headers.add(new String[] {line.substring(0, colon).strip(), line.substring(colon + 1).strip()});
            }
        } catch (EOFException e) {
            return Optional.empty();
        }
        final Message head = new Message(startLine, headers, new byte[0], true);
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        final boolean complete;
        if (head.header("transfer-encoding").filter(value -> value.toLowerCase(Locale.ROOT).contains("chunked")).isPresent()) {
            complete = readChunks(in, body);
        } else if (head.header("content-length").isPresent()) {
            complete = readBytes(in, body, Long.parseLong(head.header("content-length").get()));
        } else {
            complete = !response || readToEnd(in, body);
        }
        return Optional.of(new Message(startLine, headers, body.toByteArray(), complete));
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            final String size = readLine(in);
            if (size == null) {
                return false;
            }
            final long bytes = Long.parseLong(size.split(";")[0].strip(), 16);
            if (!readBytes(in, body, bytes) || readLine(in) == null) {
                return false;
            }
            if (bytes == 0) {
                return true;
            }
        }
    }

    /** Reads up to the end of the connection; returns false if it is reset. */
    private static boolean readToEnd(InputStream in, ByteArrayOutputStream body) {
        try {
            in.transferTo(body);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean readBytes(InputStream in, ByteArrayOutputStream body, long count) {
        final byte[] buffer = new byte[8_192];
        long left = count;
        try {
            while (left > 0) {
                final int read = in.read(buffer, 0, (int) Math.min(buffer.length, left));
                if (read < 0) {
                    return false;
                }
                body.write(buffer, 0, read);
                left -= read;
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns a line without its end; null at the end of the stream. */
    private static String readLine(InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        try {
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return null;
                }
                line.write(next);
            }
        } catch (java.net.SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            return null;
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    /** Sends one request on a connection of its own; empty if there was no complete response in time. */
    static Optional<Message> call(String method, String ip, int port, String path, String body, int timeoutMs) {
        try (Connection connection = new Connection(ip, port)) {
            connection.socket.setSoTimeout(timeoutMs);
            final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            connection.send(
                    method + " " + path + " HTTP/1.1\r\nHost: " + ip + ":" + port
                            + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                            + bytes.length + "\r\n\r\n",
                    bytes);
            return connection.receive().filter(Message::complete);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
