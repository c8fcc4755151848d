package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. Stateless. */
final class Http {
    /** The first line of a message and its headers, with names in lower case. */
    record Head(String firstLine, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        int contentLength() {
            return Integer.parseInt(headers.getOrDefault("content-length", "0"));
        }
    }

    /** An answer, with how it ended: "complete", "closed" or "reset". */
    record Answer(Head head, byte[] body, String end) {
        boolean isComplete() {
            return end.equals("complete");
        }
    }

    private Http() {}

    /** Returns the next head, or null if the connection ended before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        String first = null;
        final Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            final int next = in.read();
            if (next < 0) {
                if (first == null && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            if (next != '\n') {
                line.write(next);
                continue;
            }
            final String text = line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            line.reset();
            if (first == null) {
                first = text;
            } else if (text.isEmpty()) {
                return new Head(first, headers);
            } else {
                final int colon = text.indexOf(':');
                headers.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).strip());
            }
        }
    }

    /** Reads an answer that a requester gets. */
    static Answer readAnswer(InputStream in) throws IOException {
        Head head = readHead(in);
        while (head != null && head.status() < 200) {
            head = readHead(in);
        }
        if (head == null) {
            throw new EOFException("the connection was closed without an answer");
        }
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (head.header("transfer-encoding").contains("chunked")) {
                return readChunks(in, head, body);
            }
            final boolean hasLength = head.headers().containsKey("content-length");
            final byte[] block = new byte[64 * 1024];
            int left = hasLength ? head.contentLength() : Integer.MAX_VALUE;
            while (left > 0) {
                final int count = in.read(block, 0, Math.min(block.length, left));
                if (count < 0) {
                    return new Answer(head, body.toByteArray(), hasLength ? "closed" : "complete");
                }
                body.write(block, 0, count);
                left -= count;
            }
            return new Answer(head, body.toByteArray(), "complete");
        } catch (java.net.SocketTimeoutException e) {
            return new Answer(head, body.toByteArray(), "silent");
        } catch (IOException e) {
            return new Answer(head, body.toByteArray(), "reset");
        }
    }

    private static Answer readChunks(InputStream in, Head head, ByteArrayOutputStream body) throws IOException {
        while (true) {
            final StringBuilder size = new StringBuilder();
            int next = in.read();
            while (next >= 0 && next != '\n') {
                size.append((char) next);
                next = in.read();
            }
            if (next < 0) {
                return new Answer(head, body.toByteArray(), "closed");
            }
            final int bytes = Integer.parseInt(size.toString().strip(), 16);
            final byte[] chunk = in.readNBytes(bytes + 2);
            if (chunk.length < bytes + 2) {
                return new Answer(head, body.toByteArray(), "closed");
            }
            body.write(chunk, 0, bytes);
            if (bytes == 0) {
                return new Answer(head, body.toByteArray(), "complete");
            }
        }
    }
}
