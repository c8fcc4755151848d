package org.wigeongrade.endpoints;

import org.wigeongrade.errors.ErrorKind;

/** How a send to an endpoint failed below the level of its answer. */
public enum SendFailure {
    /** No connection was opened, so no byte of the request left. */
    CONNECT_FAILED,
    /** The connection ended while the request was running. */
    CONNECTION_LOST,
    /** No byte arrived for the stall timeout, or the request's deadline passed. */
    TIMED_OUT;

    /** Returns the error kind of a request whose only send failed so, before any byte of an answer. */
    public ErrorKind errorKind() {
        return switch (this) {
            case CONNECT_FAILED -> ErrorKind.ENDPOINT_UNREACHABLE;
            case CONNECTION_LOST -> ErrorKind.ENDPOINT_FAILED;
            case TIMED_OUT -> ErrorKind.ENDPOINT_TIMEOUT;
        };
    }

    /** Returns whether the failure lets one suspect that the endpoint's process died. */
    public boolean suggestsCrash() {
        return this == CONNECTION_LOST;
    }
}
