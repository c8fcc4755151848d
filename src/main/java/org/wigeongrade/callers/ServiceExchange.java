package org.wigeongrade.callers;

import com.google.common.collect.ImmutableListMultimap;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeongrade.decisions.control.StoredResponse;
import org.wigeongrade.decisions.outcomes.AttemptEvent;
import org.wigeongrade.decisions.outcomes.AttemptOutcome;
import org.wigeongrade.decisions.routing.RouteRequest;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.endpoints.EndpointRequest;
import org.wigeongrade.endpoints.ResponseHead;
import org.wigeongrade.endpoints.ResponseListener;
import org.wigeongrade.endpoints.SendFailure;
import org.wigeongrade.endpoints.SendHandle;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.RequestOutcome;

/**
 * Serves one call of a plain service.
 *
 * <p>Invariants: a call that is not idempotent is retried only while every earlier attempt is known not to have run; a
 * claimed call is sent only before its claim's deadline and its response is committed before the caller gets it; the
 * caller gets exactly one result. Thread safe: every field is guarded by this object's lock, which is taken before the
 * locks of the shared tables and never after them; the replicated log is called without holding it.
 */
final class ServiceExchange {
    private static final int MAX_ATTEMPTS = 3;
    /** Longest body of a refusal, in bytes, that is read to its end; it is not forwarded. */
    private static final int MAX_REFUSAL_BYTES = 1024 * 1024;

    private final CallerDependencies dependencies;
    private final Dispatcher dispatcher;
    private final ClaimClient claimClient;
    private final ServiceCall call;
    private final RequestId requestId;
    private final String requestDigest;
    private final DecisionRecorder decisions;
    private final Consumer<CallerResult> result;
    private final Consumer<ExchangeSummary> onEnd;
    private final long arrivedNanos;
    private final long deadlineNanos;

    private final Attempts attempts;
    private boolean ended;
    private OptionalLong claimDeadlineNanos = OptionalLong.empty();
    private Optional<ResponseBodyStream> stream = Optional.empty();

    ServiceExchange(
            CallerDependencies dependencies,
            Dispatcher dispatcher,
            ServiceCall call,
            RequestId requestId,
            DecisionRecorder decisions,
            Consumer<CallerResult> result,
            Consumer<ExchangeSummary> onEnd) {
        this.dependencies = dependencies;
        this.dispatcher = dispatcher;
        this.claimClient = new ClaimClient(dependencies);
        this.call = call;
        this.requestId = requestId;
        this.requestDigest = call.digest();
        this.decisions = decisions;
        this.result = result;
        this.onEnd = onEnd;
        this.arrivedNanos = dependencies.entry().nowNanos();
        this.deadlineNanos = arrivedNanos
                + TimeUnit.MILLISECONDS.toNanos(Math.min(
                        dependencies.limits().requestTimeoutMs(), call.service().longestRunMs()));
        this.attempts = new Attempts(
                dependencies,
                dispatcher,
                decisions,
                RouteTarget.of(call.service().name()),
                requestId,
                requestDigest,
                call.isIdempotent(),
                MAX_ATTEMPTS,
                deadlineNanos);
    }

    /** Claims the call if it needs a claim, then sends the first attempt or refuses the call. */
    void start() {
        if (call.needsClaim()) {
            dependencies.workers().execute(this::claimAndStart);
            return;
        }
        startAttempt();
    }

    /** Cancels the call because the caller disconnected; a claimed call continues, so that its response is stored. */
    void onCallerDisconnect() {
        final Optional<SendHandle> handle;
        synchronized (this) {
            if (ended || call.needsClaim()) {
                return;
            }
            handle = attempts.cancelCurrent();
            decisions.add("", "cancelled", "the caller closed its connection");
            finish(RequestOutcome.CANCELLED);
        }
        handle.ifPresent(SendHandle::cancel);
    }

    private void claimAndStart() {
        final ClaimClient.Outcome outcome = claimClient.claim(call, requestId);
        if (outcome instanceof ClaimClient.Outcome.Claimed claimed) {
            synchronized (this) {
                claimDeadlineNanos = OptionalLong.of(claimed.sendDeadlineNanos());
                decisions.add(
                        "",
                        "claimed",
                        "idempotency key " + call.idempotencyKey().orElseThrow());
            }
            startAttempt();
            return;
        }
        if (outcome instanceof ClaimClient.Outcome.AlreadyAnswered alreadyAnswered) {
            synchronized (this) {
                decisions.add(
                        "",
                        "answered",
                        "returned the stored response of an earlier call with the same idempotency key");
                respondWithStored(alreadyAnswered.response());
            }
            return;
        }
        synchronized (this) {
            respondWithError(((ClaimClient.Outcome.Refused) outcome).failure());
        }
    }

    private synchronized void startAttempt() {
        final RouteRequest routeRequest = new RouteRequest(
                RouteTarget.of(call.service().name()),
                List.of(),
                0,
                attempts.triedEndpoints(),
                dependencies.entry().zone(),
                dependencies.entry().self(),
                false);
        final DispatchResult dispatch =
                dispatcher.dispatch(routeRequest, requestDigest, claimDeadlineNanos, deadlineNanos, decisions);
        if (dispatch instanceof DispatchResult.Refused refused) {
            endWithError(refused.failure());
            return;
        }
        send((DispatchResult.Ready) dispatch);
    }

    private void send(DispatchResult.Ready dispatch) {
        final AttemptProgress attempt = attempts.begin(dispatch);
        final long remainingMs = dispatcher.remainingMs(deadlineNanos);
        final EndpointRequest outgoing = new EndpointRequest(
                attempt.attemptId(),
                dispatch.endpoint().address(),
                call.method(),
                call.pathAndQuery(),
                call.headers(),
                call.body(),
                0,
                deadlineNanos,
                Duration.ofMillis(dependencies.limits().connectTimeoutMs()),
                Duration.ofMillis(remainingMs));
        final ResponseListener listener =
                call.needsClaim() ? new BufferingListener(attempt) : new StreamingListener(attempt);
        attempts.setHandle(dependencies.client().send(outgoing, listener));
    }

    private synchronized void attemptFailed(AttemptProgress attempt, AttemptOutcome outcome, String detail) {
        if (ended || !attempts.isCurrent(attempt)) {
            return;
        }
        attempts.recordFailure(attempt, outcome, detail, stream.isEmpty(), false)
                .ifPresentOrElse(this::endWithError, this::startAttempt);
    }

    /** Ends an attempt whose response is longer than {@code maxBytes}, and closes its connection. */
    private synchronized void giveUp(AttemptProgress attempt, int maxBytes) {
        attempts.cancelConnection();
        attemptFailed(
                attempt,
                attempt.failedOutcome(SendFailure.CONNECTION_LOST),
                "the response exceeds " + maxBytes + " bytes");
    }

    /** Ends the call with an error; a claim is finished first, so that a repeated call gets the same outcome. */
    private void endWithError(WigeongradeException failure) {
        final WigeongradeException reported = attempts.withCorrectRunStatus(failure, ErrorKind.OUTCOME_UNKNOWN);
        if (!call.needsClaim()) {
            respondWithError(reported);
            return;
        }
        final RunStatus outcome = attempts.mayHaveRun() ? RunStatus.UNKNOWN : RunStatus.NOT_RUN;
        dependencies.workers().execute(() -> {
            claimClient.finish(call, requestId, outcome, Optional.empty());
            synchronized (this) {
                respondWithError(reported);
            }
        });
    }

    private void respondWithError(WigeongradeException failure) {
        if (ended) {
            return;
        }
        dependencies.metrics().countRefusal(failure.kind());
        decisions.add("", "refused", failure.kind().code() + ": " + failure.getMessage());
        dependencies
                .events()
                .write(
                        LogEvent.REQUEST_REFUSED,
                        requestId,
                        call.organisation(),
                        failure.kind().code(),
                        failure.getMessage());
        if (stream.isPresent()) {
            attempts.recordCut(failure, 0);
            stream.get().fail(new IOException(failure.getMessage()));
        } else {
            result.accept(new CallerResult.Failed(failure));
        }
        finish(failure.kind().runStatus() == RunStatus.NOT_RUN ? RequestOutcome.REFUSED : RequestOutcome.FAILED);
    }

    private void respondWithStored(StoredResponse response) {
        if (ended) {
            return;
        }
        result.accept(new CallerResult.Buffered(
                response.status(), ImmutableListMultimap.of("content-type", response.contentType()), response.body()));
        finish(RequestOutcome.COMPLETED);
    }

    private void finish(RequestOutcome outcome) {
        ended = true;
        onEnd.accept(new ExchangeSummary(outcome, attempts.lastZone(), 0));
    }

    /** Forwards the response to a call without a claim while it arrives. */
    private final class StreamingListener implements ResponseListener {
        private final AttemptProgress attempt;
        private boolean refusedBeforeRun;
        private long refusalBytes;

        StreamingListener(AttemptProgress attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onHead(ResponseHead head) {
            synchronized (ServiceExchange.this) {
                attempts.recordHead(attempt, head);
                refusedBeforeRun = attempt.completedOutcome().event() != AttemptEvent.ANSWERED;
                if (refusedBeforeRun || ended) {
                    return;
                }
                dependencies
                        .metrics()
                        .recordTimeToFirstByte(dependencies.entry().nowNanos() - arrivedNanos);
                final ResponseBodyStream body = new ResponseBodyStream(
                        () -> dependencies.scheduler().schedule(ServiceExchange.this::onCallerDisconnect, 0));
                stream = Optional.of(body);
                result.accept(
                        new CallerResult.Streamed(head.status(), HeaderFilter.fromEndpoint(head.headers()), body));
            }
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            if (refusedBeforeRun) {
                refusalBytes += bytes.length;
                if (refusalBytes > MAX_REFUSAL_BYTES) {
                    giveUp(attempt, MAX_REFUSAL_BYTES);
                } else {
                    readMore.run();
                }
                return;
            }
            stream.orElseThrow().push(bytes, readMore);
        }

        @Override
        public void onEnd() {
            synchronized (ServiceExchange.this) {
                if (refusedBeforeRun) {
                    attemptFailed(
                            attempt,
                            attempt.completedOutcome(),
                            "status " + attempt.head().status());
                    return;
                }
                if (ended) {
                    return;
                }
                attempts.recordResponse(attempt);
                stream.ifPresent(ResponseBodyStream::complete);
                finish(RequestOutcome.COMPLETED);
            }
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            attemptFailed(attempt, attempt.failedOutcome(failure), detail);
        }
    }

    /** Buffers the response to a claimed call, commits it, then sends it to the caller. */
    private final class BufferingListener implements ResponseListener {
        private final AttemptProgress attempt;
        private final HeldBody body = new HeldBody();

        BufferingListener(AttemptProgress attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onHead(ResponseHead head) {
            synchronized (ServiceExchange.this) {
                attempts.recordHead(attempt, head);
            }
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            if (body.append(bytes)) {
                readMore.run();
            } else {
                giveUp(attempt, HeldBody.MAX_BYTES);
            }
        }

        @Override
        public void onEnd() {
            synchronized (ServiceExchange.this) {
                final AttemptOutcome outcome = attempt.completedOutcome();
                if (outcome.event() != AttemptEvent.ANSWERED) {
                    attemptFailed(attempt, outcome, "status " + attempt.head().status());
                    return;
                }
                attempts.recordResponse(attempt);
            }
            final StoredResponse response = new StoredResponse(
                    attempt.head().status(),
                    attempt.head().header("content-type").orElse("application/octet-stream"),
                    body.toByteArray());
            dependencies.workers().execute(() -> {
                claimClient.finish(call, requestId, RunStatus.COMPLETED, Optional.of(response));
                synchronized (ServiceExchange.this) {
                    respondWithStored(response);
                }
            });
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            attemptFailed(attempt, attempt.failedOutcome(failure), detail);
        }
    }
}
