package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;

/**
 * The part of a stream that was forwarded to the caller, across all endpoints that produced it. Used on the event loop
 * only.
 *
 * <p>Invariant: events are forwarded complete, once, and in the order of their ids.
 */
final class RelayedStream {
    private boolean begun;
    private int status;
    private int events;
    private OptionalLong lastEventId = OptionalLong.empty();

    boolean hasBegun() {
        return begun;
    }

    int status() {
        return status;
    }

    int events() {
        return events;
    }

    /** Returns whether another endpoint can start or continue the stream. */
    boolean isResumable() {
        return !begun || lastEventId.isPresent();
    }

    /**
     * Returns the id of the event after which the next endpoint must continue: the last one forwarded or, if
     * none was forwarded, the one that the caller's request names.
     */
    OptionalLong resumeAfter(CallerRequest request) {
        return begun ? lastEventId : request.lastEventId();
    }

    /**
     * Forwards the status and headers unless they were forwarded before; a stream keeps those of its first endpoint.
     */
    void begin(ResponseHead head, ResponseWriter responseWriter) {
        if (!begun) {
            begun = true;
            status = head.status();
            final HttpHeaders headers = head.headers();
            responseWriter.beginStream(status, headers);
        }
    }

    /** Forwards an event unless it was forwarded before. */
    void relay(ServerSentEventSplitter.Event event, ResponseWriter responseWriter) {
        final boolean alreadyRelayed =
                event.id().isPresent() && lastEventId.isPresent() && event.id().getAsLong() <= lastEventId.getAsLong();
        if (alreadyRelayed) {
            return;
        }
        lastEventId = event.id();
        events++;
        responseWriter.writeStream(event.bytes().array());
    }
}
