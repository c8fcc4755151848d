package org.wigeongrade.callers;

import com.google.common.collect.ImmutableListMultimap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeongrade.decisions.control.StoredAnswer;
import org.wigeongrade.decisions.outcomes.AttemptEvent;
import org.wigeongrade.decisions.outcomes.AttemptOutcome;
import org.wigeongrade.decisions.routing.RouteRequest;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.endpoints.AnswerHead;
import org.wigeongrade.endpoints.AnswerListener;
import org.wigeongrade.endpoints.EndpointRequest;
import org.wigeongrade.endpoints.SendFailure;
import org.wigeongrade.endpoints.SendHandle;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunClaim;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.RequestOutcome;

/**
 * Serves one call of a plain service.
 *
 * <p>Invariants: a call that is not idempotent is sent again only while every earlier attempt is known not to have run; a
 * claimed call is sent only before its claim's deadline and its answer is committed before the caller gets it; the
 * caller's result is given once. Thread safe: every field is guarded by this object's lock, which is taken before the
 * locks of the shared tables and never after them; the log is called outside it.
 */
final class ServiceExchange {
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

    private final CallerServices services;
    private final Dispatcher dispatcher;
    private final ClaimKeeper claims;
    private final ServiceCall call;
    private final RequestId requestId;
    private final String requestDigest;
    private final DecisionNotes notes;
    private final Consumer<CallerResult> result;
    private final Consumer<ExchangeEnd> onEnd;
    private final long arrivedNanos;
    private final long deadlineNanos;

    private final Attempts attempts;
    private boolean ended;
    private OptionalLong claimDeadlineNanos = OptionalLong.empty();
    private Optional<BodyStream> stream = Optional.empty();

    ServiceExchange(
            CallerServices services,
            Dispatcher dispatcher,
            ServiceCall call,
            RequestId requestId,
            DecisionNotes notes,
            Consumer<CallerResult> result,
            Consumer<ExchangeEnd> onEnd) {
        this.services = services;
        this.dispatcher = dispatcher;
        this.claims = new ClaimKeeper(services);
        this.call = call;
        this.requestId = requestId;
        this.requestDigest = call.digest();
        this.notes = notes;
        this.result = result;
        this.onEnd = onEnd;
        this.arrivedNanos = services.entry().nowNanos();
        this.deadlineNanos = arrivedNanos
                + TimeUnit.MILLISECONDS.toNanos(Math.min(
                        services.limits().requestTimeoutMs(), call.service().longestRunMs()));
        this.attempts = new Attempts(
                services,
                dispatcher,
                notes,
                RouteTarget.of(call.service().name()),
                requestId,
                requestDigest,
                call.isIdempotent(),
                MAX_ATTEMPTS,
                deadlineNanos);
    }

    /** Sends the first attempt, claims it first, or refuses at once. */
    void start() {
        if (call.needsClaim()) {
            services.workers().execute(this::claim);
            return;
        }
        attempt();
    }

    /** Gives the call up if nothing depends on its outcome; a claimed call goes on so that its answer is kept. */
    void callerGone() {
        final Optional<SendHandle> handle;
        synchronized (this) {
            if (ended || call.needsClaim()) {
                return;
            }
            handle = attempts.callerGone();
            notes.add("", "cancelled", "the caller closed its connection");
            finish(RequestOutcome.CANCELLED);
        }
        handle.ifPresent(SendHandle::cancel);
    }

    private void claim() {
        final ClaimKeeper.Outcome outcome = claims.claim(call, requestId);
        if (outcome instanceof ClaimKeeper.Outcome.Claimed claimed) {
            synchronized (this) {
                claimDeadlineNanos = OptionalLong.of(claimed.sendDeadlineNanos());
                notes.add(
                        "",
                        "claimed",
                        "idempotency key " + call.idempotencyKey().orElseThrow());
            }
            attempt();
            return;
        }
        if (outcome instanceof ClaimKeeper.Outcome.Answered answered) {
            synchronized (this) {
                notes.add("", "answered", "the answer of the first send was kept");
                give(answered.answer());
            }
            return;
        }
        synchronized (this) {
            refuse(((ClaimKeeper.Outcome.Refused) outcome).failure());
        }
    }

    private synchronized void attempt() {
        final RouteRequest wanted = new RouteRequest(
                RouteTarget.of(call.service().name()),
                List.of(),
                0,
                attempts.tried(),
                services.entry().zone(),
                services.entry().self(),
                false);
        final Dispatch dispatch = dispatcher.dispatch(wanted, requestDigest, claimDeadlineNanos, deadlineNanos, notes);
        if (dispatch instanceof Dispatch.Refused refused) {
            giveUp(refused.failure());
            return;
        }
        send((Dispatch.Ready) dispatch);
    }

    private void send(Dispatch.Ready ready) {
        final AttemptProgress running = attempts.begin(ready);
        final long leftMs = dispatcher.leftMs(deadlineNanos);
        final EndpointRequest outgoing = new EndpointRequest(
                running.attemptId(),
                ready.endpoint().address(),
                call.method(),
                call.pathAndQuery(),
                call.headers(),
                call.body(),
                0,
                deadlineNanos,
                Duration.ofMillis(services.limits().connectTimeoutMs()),
                Duration.ofMillis(leftMs));
        final AnswerListener listener =
                call.needsClaim() ? new BufferingListener(running) : new StreamingListener(running);
        attempts.sent(services.client().send(outgoing, listener));
    }

    private synchronized void attemptFailed(AttemptProgress running, AttemptOutcome outcome, String detail) {
        if (ended || !attempts.isRunning(running)) {
            return;
        }
        attempts.failed(running, outcome, detail, stream.isEmpty(), false).ifPresentOrElse(this::giveUp, this::attempt);
    }

    /** Ends the call with an error; a claim is settled first, so that a resend learns the same. */
    private void giveUp(WigeongradeException failure) {
        final WigeongradeException told = attempts.truthful(failure, ErrorKind.OUTCOME_UNKNOWN);
        if (!call.needsClaim()) {
            refuse(told);
            return;
        }
        final RunClaim outcome = attempts.mayHaveRun() ? RunClaim.UNKNOWN : RunClaim.NOT_RUN;
        services.workers().execute(() -> {
            claims.finish(call, requestId, outcome, Optional.empty());
            synchronized (this) {
                refuse(told);
            }
        });
    }

    private void refuse(WigeongradeException told) {
        if (ended) {
            return;
        }
        services.metrics().refused(told.kind());
        notes.add("", "refused", told.kind().code() + ": " + told.getMessage());
        services.events()
                .write(
                        LogEvent.REQUEST_REFUSED,
                        requestId,
                        call.organisation(),
                        told.kind().code(),
                        told.getMessage());
        if (stream.isPresent()) {
            stream.get().fail(new IOException(told.getMessage()));
        } else {
            result.accept(new CallerResult.Failed(told));
        }
        finish(told.kind().runClaim() == RunClaim.NOT_RUN ? RequestOutcome.REFUSED : RequestOutcome.FAILED);
    }

    private void give(StoredAnswer answer) {
        if (ended) {
            return;
        }
        result.accept(new CallerResult.Whole(
                answer.status(), ImmutableListMultimap.of("content-type", answer.contentType()), answer.body()));
        finish(RequestOutcome.COMPLETED);
    }

    private void finish(RequestOutcome outcome) {
        ended = true;
        onEnd.accept(new ExchangeEnd(outcome, attempts.zone(), 0));
    }

    /** Hands an unclaimed call's answer on while it arrives. */
    private final class StreamingListener implements AnswerListener {
        private final AttemptProgress running;
        private boolean refusedNotRun;

        StreamingListener(AttemptProgress running) {
            this.running = running;
        }

        @Override
        public void onHead(AnswerHead head) {
            synchronized (ServiceExchange.this) {
                running.began(head);
                attempts.noteColdSign(running);
                refusedNotRun = running.wholeAnswer().event() != AttemptEvent.ANSWERED;
                if (refusedNotRun || ended) {
                    return;
                }
                services.metrics().firstByteSent(services.entry().nowNanos() - arrivedNanos);
                final BodyStream body = new BodyStream(() -> services.delay().run(ServiceExchange.this::callerGone, 0));
                stream = Optional.of(body);
                result.accept(new CallerResult.Streamed(head.status(), AnswerHeaders.forCaller(head.headers()), body));
            }
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            if (refusedNotRun) {
                readMore.run();
                return;
            }
            stream.orElseThrow().push(bytes, readMore);
        }

        @Override
        public void onEnd() {
            synchronized (ServiceExchange.this) {
                if (refusedNotRun) {
                    attemptFailed(
                            running,
                            running.wholeAnswer(),
                            "status " + running.head().status());
                    return;
                }
                if (ended) {
                    return;
                }
                attempts.answered(running);
                stream.ifPresent(BodyStream::complete);
                finish(RequestOutcome.COMPLETED);
            }
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            attemptFailed(running, running.failed(failure), detail);
        }
    }

    /** Collects a claimed call's answer, commits it, then hands it on. */
    private final class BufferingListener implements AnswerListener {
        private final AttemptProgress running;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        BufferingListener(AttemptProgress running) {
            this.running = running;
        }

        @Override
        public void onHead(AnswerHead head) {
            synchronized (ServiceExchange.this) {
                running.began(head);
                attempts.noteColdSign(running);
            }
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            body.writeBytes(bytes);
            if (body.size() > MAX_BUFFERED_BYTES) {
                attemptFailed(running, new AttemptOutcome(AttemptEvent.CUT_SHORT), "the answer is too large");
                return;
            }
            readMore.run();
        }

        @Override
        public void onEnd() {
            synchronized (ServiceExchange.this) {
                final AttemptOutcome outcome = running.wholeAnswer();
                if (outcome.event() != AttemptEvent.ANSWERED) {
                    attemptFailed(running, outcome, "status " + running.head().status());
                    return;
                }
                attempts.answered(running);
            }
            final StoredAnswer answer = new StoredAnswer(
                    running.head().status(),
                    running.head().header("content-type").orElse("application/octet-stream"),
                    body.toByteArray());
            services.workers().execute(() -> {
                claims.finish(call, requestId, RunClaim.COMPLETED, Optional.of(answer));
                synchronized (ServiceExchange.this) {
                    give(answer);
                }
            });
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            attemptFailed(running, running.failed(failure), detail);
        }
    }
}
