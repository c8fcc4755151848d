package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wigeongrade.fleet.net.HttpReply;

/** Records what an exchange sends to its caller. Thread safe. */
final class RecordingWriter implements ResponseWriter {
    private final List<String> written = new CopyOnWriteArrayList<>();

    List<String> written() {
        return List.copyOf(written);
    }

    @Override
    public void writeResponse(HttpReply reply) {
        written.add(reply.toString());
    }

    @Override
    public void writeResponse(BufferedResponse response) {
        written.add("status " + response.status());
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {
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
