package org.wigeongrade.fleet.entry;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import org.wigeongrade.fleet.net.Futures;

/** One send to an endpoint, from its connection to the end of its answer. Used on the event loop only. */
final class EndpointCall {
    private final Optional<String> attemptId;
    private final FullHttpRequest message;
    private final EndpointListener listener;
    private Optional<Channel> channel = Optional.empty();
    private boolean over;

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

    boolean isOver() {
        return over;
    }

    /** Returns whether the request was written, so that it may run. */
    boolean isSent() {
        return channel.isPresent();
    }

    void sentOn(Channel used) {
        channel = Optional.of(used);
    }

    /** Closes the connection, so that the endpoint drops the request; the listener hears nothing more. */
    void cancel() {
        over = true;
        channel.ifPresent(open -> Futures.unwatched(open.close()));
    }

    /** Lets the endpoint send on, or holds it back while the caller does not read. */
    void read(boolean on) {
        if (!over) {
            channel.ifPresent(open -> open.config().setAutoRead(on));
        }
    }

    void head(AnswerHead head) {
        if (!over) {
            listener.onHead(head);
        }
    }

    void body(byte[] bytes) {
        if (!over) {
            listener.onBody(bytes);
        }
    }

    void end() {
        if (!over) {
            over = true;
            listener.onEnd();
        }
    }

    void notSent(String cause, boolean refused) {
        if (!over) {
            over = true;
            listener.onNotSent(cause, refused);
        }
    }

    void broken(String cause) {
        if (!over) {
            over = true;
            listener.onBroken(cause);
        }
    }
}
