package org.wigeongrade.fleet.entry;

/** What becomes of one send to an endpoint; called on the event loop, nothing after an end or failure. */
interface EndpointListener {
    /** The head of the answer to this request came. */
    void onHead(AnswerHead head);

    /** Bytes of the body came. */
    void onBody(byte[] bytes);

    /** The answer is whole. */
    void onEnd();

    /** No connection was opened, so that the request did not run. */
    void onNotSent(String cause, boolean refused);

    /** The connection failed after the request was sent, so that it may have run. */
    void onBroken(String cause);
}
