package org.wigeongrade.callers;

import java.util.concurrent.TimeUnit;
import org.wigeongrade.errors.Answers;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.RequestId;
import ratpack.http.Response;

/** Sends an error to a caller at once, with its run claim and the time to come back. Stateless. */
public final class ErrorAnswers {
    private ErrorAnswers() {}

    /** Sends the answer that the error table gives for the failure's kind. */
    public static void send(Response response, RequestId requestId, WigeongradeException failure) {
        response.getHeaders().set("X-Request-Id", requestId.value());
        response.getHeaders().set("X-Wigeongrade-Run", failure.kind().runClaim().headerValue());
        if (failure.retryAfterMs() > 0) {
            response.getHeaders().set("Retry-After", wholeSeconds(failure.retryAfterMs()));
        }
        response.status(failure.kind().httpStatus());
        response.send("application/json", Answers.json(failure, requestId.value()));
    }

    private static long wholeSeconds(long ms) {
        return TimeUnit.MILLISECONDS.toSeconds(ms + TimeUnit.SECONDS.toMillis(1) - 1);
    }
}
