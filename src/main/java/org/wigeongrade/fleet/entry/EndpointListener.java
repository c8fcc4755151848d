package org.wigeongrade.fleet.entry;

/**
 * Receives the progress and outcome of one request to an endpoint. Called on the event loop, and not called again after
 * the response is complete or the request failed.
 */
interface EndpointListener {
    /** Called when a new connection was opened for the request, before it is sent. */
    default void onConnectionOpened() {}

    /** Called when the status and headers of the response arrived. */
    void onHead(ResponseHead head);

    /** Called when bytes of the body arrived. */
    void onBody(byte[] bytes);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when no connection could be opened, so that the request did not run. */
    void onNotSent(String cause, boolean connectionRefused);

    /**
     * Called when the response or its connection failed after the request was sent, so that the request may have run.
     */
    void onFailedAfterSend(String cause);

    /**
     * Called instead of {@link #onFailedAfterSend} when bytes arrived that are no response, so that nothing that the
     * response stated is to be believed.
     */
    default void onInvalidResponse(String cause) {
        onFailedAfterSend(cause);
    }

    /**
     * Called when this node failed to write the request or to take the response, so that the request may have run. It
     * tells nothing about the endpoint.
     */
    void onFailedHere(String cause);
}
