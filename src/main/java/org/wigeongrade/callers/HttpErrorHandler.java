package org.wigeongrade.callers;

import java.util.UUID;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Context;
import ratpack.http.ConnectionClosedException;

/**
 * Sends the error response for unknown paths, unsupported methods and unexpected failures.
 *
 * <p>Invariant: each response has one of the closed list of error kinds; a closed connection gets no response. Thread
 * safe: holds no state of its own.
 */
public final class HttpErrorHandler implements ClientErrorHandler, ServerErrorHandler {
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final Metrics metrics;
    private final EventLog events;

    public HttpErrorHandler(Metrics metrics, EventLog events) {
        this.metrics = metrics;
        this.events = events;
    }

    @Override
    public void error(Context context, int status) {
        final String method = context.getRequest().getMethod().getName();
        final String path = "/" + context.getRequest().getPath();
        switch (status) {
            case NOT_FOUND ->
                refuse(context, new WigeongradeException(ErrorKind.NOT_FOUND, "there is no resource at " + path));
            case METHOD_NOT_ALLOWED ->
                refuse(
                        context,
                        new WigeongradeException(
                                ErrorKind.METHOD_NOT_ALLOWED, "method " + method + " is not supported at " + path));
            default ->
                refuse(
                        context,
                        new WigeongradeException(
                                ErrorKind.MALFORMED_REQUEST, "the request was refused with HTTP status " + status));
        }
    }

    @Override
    public void error(Context context, Throwable failure) {
        if (failure instanceof ConnectionClosedException) {
            return;
        }
        if (failure instanceof WigeongradeException known) {
            refuse(context, known);
            return;
        }
        final RequestId id = newId();
        events.writeWithStackTrace(LogEvent.REQUEST_FAULT, failure, id, failure);
        metrics.countRefusal(ErrorKind.INTERNAL);
        ErrorResponses.send(
                context.getResponse(),
                id,
                new WigeongradeException(
                        ErrorKind.INTERNAL, "the request failed unexpectedly; see event 1608 in the log"));
    }

    private void refuse(Context context, WigeongradeException failure) {
        final RequestId id = newId();
        metrics.countRefusal(failure.kind());
        events.write(LogEvent.REQUEST_REFUSED, id, null, failure.kind().code(), failure.getMessage());
        ErrorResponses.send(context.getResponse(), id, failure);
    }

    private static RequestId newId() {
        return new RequestId("req-" + UUID.randomUUID());
    }
}
