package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wigeongrade.fleet.net.HttpReply;

/** Records what an exchange sends to its caller. Thread safe. */
final class RecordingWriter implements ResponseWriter {
    private final List<String> written = new CopyOnWriteArrayList<>();

    /** Headers of the latest response of an endpoint. */
    private volatile HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

    HttpHeaders headers() {
        return headers;
    }

    List<String> written() {
        return List.copyOf(written);
    }

    @Override
    public void writeResponse(HttpReply reply) {
        written.add(reply.toString());
    }

    @Override
    public void writeResponse(BufferedResponse response) {
        headers = response.headers();
        written.add("status " + response.status());
    }

    @Override
    public void beginStream(int status, HttpHeaders received) {
        headers = received;
        written.add("stream");
    }

    @Override
    public void writeStream(byte[] bytes) {
        written.add("event");
    }

    @Override
    public void endStream() {
        written.add("end");
    }

    @Override
    public void abort() {
        written.add("aborted");
    }
}
