package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.HttpHeaders;
import org.wigeongrade.fleet.net.HttpReply;

/** Writes the response of one exchange to its caller. Used on the event loop only. */
interface ResponseWriter {
    /** Writes a complete response of this system. */
    void writeResponse(HttpReply reply);

    /** Writes an endpoint's complete response with the headers of the endpoint, and then releases its body. */
    void writeResponse(BufferedResponse response);

    /** Writes the status and headers of a streamed response. */
    void beginStream(int status, HttpHeaders headers);

    /** Writes bytes of a streamed response. */
    void writeStream(byte[] bytes);

    /** Ends a streamed response as complete. */
    void endStream();

    /** Closes the connection, so that a streamed response does not look complete. */
    void abort();
}
