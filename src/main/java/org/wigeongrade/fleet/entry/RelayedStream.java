package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;

/**
 * What was passed on of one stream, over all endpoints that took part in it. Used on the event loop only.
 *
 * <p>Invariant: events are passed on whole, once, and in the order of their ids.
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

    /** Returns whether the stream can go on at another endpoint. */
    boolean isResumable() {
        return !begun || lastEventId.isPresent();
    }

    /** Returns the event after which another endpoint must go on; empty if nothing was passed on yet. */
    OptionalLong resumeAfter(CallerRequest request) {
        return begun ? lastEventId : request.lastEventId();
    }

    /** Passes the head on if it was not yet; a stream keeps the head of its first endpoint. */
    void begin(AnswerHead head, CallerLink caller) {
        if (!begun) {
            begun = true;
            status = head.status();
            final HttpHeaders headers = head.headers();
            caller.beginStream(status, headers);
        }
    }

    /** Passes an event on, unless it was passed on before. */
    void relay(EventCutter.Event event, CallerLink caller) {
        final boolean repeated =
                event.id().isPresent() && lastEventId.isPresent() && event.id().getAsLong() <= lastEventId.getAsLong();
        if (repeated) {
            return;
        }
        lastEventId = event.id();
        events++;
        caller.writeStream(event.bytes().array());
    }
}
