package org.wigeongrade.platform.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A client's HTTP/1.1 connection that never resends a request.
 *
 * <p>Invariant: a truncated response causes an {@link IOException}. Not thread safe.
 */
final class HttpConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int HEX_RADIX = 16;

    private final Socket socket = new Socket();
    private final InputStream input;
    private boolean open = true;
    private boolean responseBegun;

    /** A complete response. */
    record Response(int status, Map<String, String> headers, String body) {}

    HttpConnection(InetSocketAddress address, int readTimeoutMs) throws IOException {
        socket.connect(address, CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(readTimeoutMs);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns whether another request may be sent. */
    boolean isOpen() {
        return open;
    }

    /** Returns whether the status of the last request's response has arrived. */
    boolean hasResponseBegun() {
        return responseBegun;
    }

    /** Sends a request with a body and returns the complete response. */
    Response call(String method, String target, Map<String, String> headers, String body) throws IOException {
        open = false;
        responseBegun = false;
        final StringBuilder head =
                new StringBuilder(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        final byte[] content = body.getBytes(StandardCharsets.UTF_8);
        head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
        final ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
        message.writeBytes(content);
        socket.getOutputStream().write(message.toByteArray());
        return readResponse();
    }

    private Response readResponse() throws IOException {
        final String[] statusLine = readLine().split(" ", 3);
        responseBegun = true;
        final Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            final int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        final String body = new String(readBody(headers), StandardCharsets.UTF_8);
        open = !"close".equalsIgnoreCase(headers.get("connection"));
        return new Response(Integer.parseInt(statusLine[1]), headers, body);
    }

    private byte[] readBody(Map<String, String> headers) throws IOException {
        if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            return readExactly(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        final ByteArrayOutputStream decoded = new ByteArrayOutputStream();
        int size = Integer.parseInt(readLine().strip(), HEX_RADIX);
        while (size > 0) {
            decoded.writeBytes(readExactly(size));
            readLine();
            size = Integer.parseInt(readLine().strip(), HEX_RADIX);
        }
        readLine();
        return decoded.toByteArray();
    }

    private byte[] readExactly(int size) throws IOException {
        final byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the response ended after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    private String readLine() throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection closed within a response");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        open = false;
        socket.close();
    }
}
