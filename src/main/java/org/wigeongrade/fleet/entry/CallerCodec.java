package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.fleet.net.HttpReply;

/**
 * Converts between internal messages and the HTTP messages of callers and endpoints. Implementations are stateless and
 * thread safe.
 */
public interface CallerCodec {
    /** Returns whether the request is a readiness check of this node. */
    boolean isReadinessCheck(String method, String path);

    /** Decodes a caller's request; throws with kind MALFORMED_REQUEST if it cannot be forwarded safely. */
    CallerRequest decode(FullHttpRequest request);

    /** Returns the request to send to an endpoint. */
    FullHttpRequest encode(CallerRequest request, ForwardingMetadata metadata, String address);

    /**
     * Returns the request to send to another entry node, which sees it as the caller sent it but for the time that is
     * left and the event after which a stream has to continue.
     */
    FullHttpRequest encodeForEntryNode(CallerRequest request, long remainingMs, OptionalLong resumeAfter);

    /** Decodes the status and headers of an endpoint's response. */
    ResponseHead decode(HttpResponse response);

    /** Returns the error response that this system sends to the caller. */
    HttpReply error(CallerRequest request, ErrorKind kind, String message, long retryAfterMs);
}
