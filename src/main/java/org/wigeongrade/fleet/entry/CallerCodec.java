package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.fleet.net.HttpReply;

/** Reads and writes messages as callers and endpoints speak them. Implementations are stateless and thread safe. */
public interface CallerCodec {
    /** Returns whether the request asks whether this node is ready. */
    boolean isReadinessCall(String method, String path);

    /** Decodes a caller's request; throws with kind MALFORMED_REQUEST if it cannot be passed on safely. */
    CallerRequest decode(FullHttpRequest request);

    /** Returns the request for an endpoint. */
    FullHttpRequest encode(CallerRequest request, SendTerms terms, String address);

    /** Decodes the head of an endpoint's answer. */
    AnswerHead decode(HttpResponse response);

    /** Returns the answer of this system for an error. */
    HttpReply error(CallerRequest request, ErrorKind kind, String message, long retryAfterMs);
}
