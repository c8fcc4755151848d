package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.HttpHeaders;
import org.wigeongrade.fleet.net.HttpReply;

/** The way back to the caller of one exchange. Used on the event loop only. */
interface CallerLink {
    /** Writes a whole answer. */
    void answer(HttpReply reply);

    /** Writes an endpoint's whole answer with its own headers. */
    void answer(int status, HttpHeaders headers, byte[] body);

    /** Writes the head of a stream. */
    void beginStream(int status, HttpHeaders headers);

    /** Writes a part of a stream. */
    void writeStream(byte[] bytes);

    /** Ends a stream as complete. */
    void endStream();

    /** Closes the connection, so that a stream does not look complete. */
    void breakOff();
}
