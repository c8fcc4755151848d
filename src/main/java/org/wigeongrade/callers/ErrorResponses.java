package org.wigeongrade.callers;

import java.util.concurrent.TimeUnit;
import org.wigeongrade.errors.ErrorJson;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.RequestId;
import ratpack.http.Response;

/** Sends error responses to callers, with headers for the request's run status and the retry delay. Stateless. */
public final class ErrorResponses {
    private ErrorResponses() {}

    /** Sends the response that {@link org.wigeongrade.errors.ErrorKind} defines for the failure's kind. */
    public static void send(Response response, RequestId requestId, WigeongradeException failure) {
        response.getHeaders().set("X-Request-Id", requestId.value());
        response.getHeaders()
                .set("X-Wigeongrade-Run", failure.kind().runStatus().headerValue());
        if (failure.retryAfterMs() > 0) {
            response.getHeaders().set("Retry-After", ceilToSeconds(failure.retryAfterMs()));
        }
        response.status(failure.kind().httpStatus());
        response.send("application/json", ErrorJson.render(failure, requestId.value()));
    }

    private static long ceilToSeconds(long ms) {
        return TimeUnit.MILLISECONDS.toSeconds(ms + TimeUnit.SECONDS.toMillis(1) - 1);
    }
}
