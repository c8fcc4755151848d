package org.wigeongrade.fleet.entry;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import org.wigeongrade.fleet.net.NettyFutures;

/** One request to an endpoint, from connecting to the end of the response. Used on the event loop only. */
final class EndpointCall {
    private final Optional<String> attemptId;
    private final FullHttpRequest message;
    private final EndpointListener listener;
    private Optional<Channel> channel = Optional.empty();
    private boolean reused;
    private boolean finished;
    private boolean reading = true;

    EndpointCall(Optional<String> attemptId, FullHttpRequest message, EndpointListener listener) {
        this.attemptId = attemptId;
        this.message = message;
        this.listener = listener;
    }

    Optional<String> attemptId() {
        return attemptId;
    }

    FullHttpRequest message() {
        return message;
    }

    boolean isFinished() {
        return finished;
    }

    /** Returns whether the request was written, so that the endpoint may run it. */
    boolean isSent() {
        return channel.isPresent();
    }

    /** Notes that the request is written to a connection that was kept open after an earlier one. */
    void markReused() {
        reused = true;
    }

    /** Describes for the log how far the request got. */
    String describe() {
        if (!isSent()) {
            return "no connection was open yet";
        }
        return reused ? "sent on a kept connection" : "sent on a new connection";
    }

    void markSent(Channel connection) {
        channel = Optional.of(connection);
        connection.config().setAutoRead(reading);
    }

    /**
     * Resets the connection, so that the endpoint drops the request, and also one that the network has held up until
     * now; the listener is not called again.
     */
    void cancel() {
        finished = true;
        channel.ifPresent(NettyFutures::reset);
    }

    /**
     * Resumes reading from the endpoint, or pauses it while the caller does not read (back pressure). It holds for a
     * connection that is opened later, too.
     */
    void setReading(boolean enabled) {
        reading = enabled;
        if (!finished) {
            channel.ifPresent(open -> open.config().setAutoRead(enabled));
        }
    }

    void reportConnectionOpened() {
        if (!finished) {
            listener.onConnectionOpened();
        }
    }

    void reportHead(ResponseHead head) {
        if (!finished) {
            listener.onHead(head);
        }
    }

    void reportBody(byte[] bytes) {
        if (!finished) {
            listener.onBody(bytes);
        }
    }

    void reportComplete() {
        if (!finished) {
            finished = true;
            listener.onComplete();
        }
    }

    void reportNotSent(String cause, boolean connectionRefused) {
        if (!finished) {
            finished = true;
            listener.onNotSent(cause, connectionRefused);
        }
    }

    void reportFailedAfterSend(String cause) {
        if (!finished) {
            finished = true;
            listener.onFailedAfterSend(cause);
        }
    }

    void reportInvalidResponse(String cause) {
        if (!finished) {
            finished = true;
            listener.onInvalidResponse(cause);
        }
    }

    void reportFailedHere(String cause) {
        if (!finished) {
            finished = true;
            listener.onFailedHere(cause);
        }
    }
}
