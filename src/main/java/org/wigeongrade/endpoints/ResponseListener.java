package org.wigeongrade.endpoints;

/**
 * Receives one endpoint's response: the head, then the body in chunks, then either the end or a failure. A failure may
 * come at any point, even before the head.
 *
 * <p>Invariant: calls never overlap; there are none after {@link #onEnd}, {@link #onFailure} or a cancel.
 */
public interface ResponseListener {
    /** Called when the status and headers have arrived. */
    void onHead(ResponseHead head);

    /** Called for each chunk of the body; the next one is read only after {@code readMore} was run, on any thread. */
    void onBytes(byte[] bytes, Runnable readMore);

    /** Called when the body is complete according to its HTTP framing. */
    void onEnd();

    /** Called when the request could not be sent or the response ended early. */
    void onFailure(SendFailure failure, String detail);
}
