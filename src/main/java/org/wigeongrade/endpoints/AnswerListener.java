package org.wigeongrade.endpoints;

/**
 * Receives one endpoint's answer: a head, then bytes, then exactly one of end and failure; a failure may come first.
 *
 * <p>Invariant: calls come one after another; nothing comes after {@link #onEnd}, {@link #onFailure} or a cancel.
 */
public interface AnswerListener {
    /** The status and headers arrived. */
    void onHead(AnswerHead head);

    /** A piece of the body arrived; the next one is read only after {@code readMore} ran, from any thread. */
    void onBytes(byte[] bytes, Runnable readMore);

    /** The body ended as its framing promised. */
    void onEnd();

    /** The send failed, or the answer ended early. */
    void onFailure(SendFailure failure, String detail);
}
