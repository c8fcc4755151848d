package org.wigeongrade.fleet.entry;

import com.google.common.base.Ascii;
import com.google.common.base.Strings;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
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
    private Optional<String> mediaType = Optional.empty();

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
            mediaType = mediaTypeOf(head);
            responseWriter.beginStream(status, head.headers());
        }
    }

    /**
     * Starts the part that comes from another response. Returns why that response cannot continue the stream; empty if it
     * can, or if the stream has not begun.
     */
    Optional<String> startPart(StreamPart part, ResponseHead head) {
        if (begun) {
            part.continueUnplaced();
        }
        final boolean fits =
                !begun || (head.status() == status && mediaTypeOf(head).equals(mediaType));
        return fits
                ? Optional.empty()
                : Optional.of("status " + head.status() + " of type "
                        + mediaTypeOf(head).orElse("-") + " does not continue a stream of type "
                        + mediaType.orElse("-"));
    }

    /**
     * Returns why an event cannot follow; empty if it can. The first event of a continuation has to name its id, or its
     * place in the stream is unknown.
     */
    Optional<String> findFault(StreamPart part, ServerSentEventSplitter.Event event) {
        return part.isPlaced() || event.id().isPresent() || event.isComment()
                ? Optional.empty()
                : Optional.of("the first event of the continuation names no id");
    }

    private static Optional<String> mediaTypeOf(ResponseHead head) {
        return Optional.ofNullable(
                        HttpUtil.getMimeType(Strings.nullToEmpty(head.headers().get(HttpHeaderNames.CONTENT_TYPE))))
                .map(type -> Ascii.toLowerCase(type.toString().strip()));
    }

    /** Returns whether the event takes the stream further: it is no comment and was not forwarded before. */
    boolean isProgress(ServerSentEventSplitter.Event event) {
        return !event.isComment() && !wasRelayed(event);
    }

    private boolean wasRelayed(ServerSentEventSplitter.Event event) {
        return event.id().isPresent() && lastEventId.isPresent() && event.id().getAsLong() <= lastEventId.getAsLong();
    }

    /** Forwards an event unless it was forwarded before. */
    void relay(StreamPart part, ServerSentEventSplitter.Event event, ResponseWriter responseWriter) {
        if (event.id().isPresent()) {
            part.recordPlace();
        }
        if (wasRelayed(event)) {
            return;
        }
        lastEventId = event.id();
        events++;
        responseWriter.writeStream(event.bytes().array());
    }
}
