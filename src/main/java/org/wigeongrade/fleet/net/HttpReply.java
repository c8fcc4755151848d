package org.wigeongrade.fleet.net;

import com.google.common.collect.ImmutableMap;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.wigeongrade.decisions.log.Bytes;

/** A complete HTTP response that this system creates. Immutable; safe for use from any thread. */
public record HttpReply(int status, Bytes body, Map<String, String> headers) {
    public HttpReply {
        headers = ImmutableMap.copyOf(headers);
    }

    /** Returns a response with a text body. */
    public static HttpReply text(int status, String text) {
        return new HttpReply(
                status,
                Bytes.wrap(text.getBytes(StandardCharsets.UTF_8)),
                Map.of("content-type", "text/plain; charset=utf-8"));
    }

    /** Returns a response with a JSON body. */
    public static HttpReply json(int status, byte[] json) {
        return new HttpReply(status, Bytes.wrap(json), Map.of("content-type", "application/json"));
    }

    /** Returns this response with a header added or replaced. */
    public HttpReply withHeader(String name, String value) {
        final ImmutableMap<String, String> more = ImmutableMap.<String, String>builder()
                .putAll(headers)
                .put(name, value)
                .buildKeepingLast();
        return new HttpReply(status, body, more);
    }

    /** Returns the Netty message to write, with its content length. */
    public FullHttpResponse toMessage() {
        final FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body.array()));
        headers.forEach((name, value) -> message.headers().set(name, value));
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.sizeBytes());
        return message;
    }
}
