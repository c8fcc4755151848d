package org.wigeongrade.endpoints;

import org.wigeongrade.errors.ErrorKind;

/** How sending a request to an endpoint failed, apart from error statuses of its response. */
public enum SendFailure {
    /** No connection was opened, so no byte of the request was sent. */
    CONNECT_FAILED,
    /** The connection ended while the request was running. */
    CONNECTION_LOST,
    /** No byte arrived within the stall timeout, or the request's deadline passed. */
    TIMED_OUT;

    /** Returns the error kind of a request whose only attempt failed this way before any byte of a response. */
    public ErrorKind errorKind() {
        return switch (this) {
            case CONNECT_FAILED -> ErrorKind.ENDPOINT_UNREACHABLE;
            case CONNECTION_LOST -> ErrorKind.ENDPOINT_FAILED;
            case TIMED_OUT -> ErrorKind.ENDPOINT_TIMEOUT;
        };
    }

    /** Returns whether the endpoint's process may have crashed. */
    public boolean mayIndicateCrash() {
        return this == CONNECTION_LOST;
    }
}
