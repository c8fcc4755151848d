package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A requester's connection to an entry node. */
final class Requester implements AutoCloseable {
    static final String HOST = "desk.example";

    private final Socket socket = new Socket();
    private final InputStream in;

    Requester(InetSocketAddress entry, int silenceMs) throws IOException {
        socket.connect(entry, 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(silenceMs);
        in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    }

    /** Sends a request. */
    void send(String method, String path, String attempt, long deadlineMs, byte[] body) throws IOException {
        final String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n"
                + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    Http.Answer read() throws IOException {
        return Http.readAnswer(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
