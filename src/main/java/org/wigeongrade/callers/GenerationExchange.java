package org.wigeongrade.callers;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeongrade.decisions.outcomes.AttemptEvent;
import org.wigeongrade.decisions.outcomes.AttemptOutcome;
import org.wigeongrade.decisions.outcomes.EventFramer;
import org.wigeongrade.decisions.outcomes.StreamAssembler;
import org.wigeongrade.decisions.outcomes.StreamStep;
import org.wigeongrade.decisions.routing.EndpointKind;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.decisions.routing.RouteRequest;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.endpoints.AnswerHead;
import org.wigeongrade.endpoints.AnswerListener;
import org.wigeongrade.endpoints.EndpointRequest;
import org.wigeongrade.endpoints.SendFailure;
import org.wigeongrade.endpoints.SendHandle;
import org.wigeongrade.errors.Answers;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunClaim;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.RequestOutcome;

/**
 * Serves one generation by one or more attempts, one after another.
 *
 * <p>Invariants: the caller's result is given once; the answer is put together from attempts on one model version, each
 * going on exactly after the text handed on; a slot is held exactly while its attempt runs. Thread safe: every field is
 * guarded by this object's lock, which is taken before the locks of the shared tables and never after them.
 */
final class GenerationExchange {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_EVENT_BYTES = 256 * 1024;
    private static final int MAX_WHOLE_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final long WAIT_FOR_SLOT_MS = 100;
    private static final int HTTP_OK = 200;

    private final CallerServices services;
    private final Dispatcher dispatcher;
    private final GenerationRequest request;
    private final RequestId requestId;
    private final String requestDigest;
    private final DecisionNotes notes;
    private final Consumer<CallerResult> result;
    private final Consumer<ExchangeEnd> onEnd;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final StreamAssembler assembler;

    private final Attempts attempts;
    private boolean ended;
    private long lastTokenNanos;
    private long tokens;
    private Optional<BodyStream> stream = Optional.empty();
    private Optional<String> modelVersion = Optional.empty();

    GenerationExchange(
            CallerServices services,
            Dispatcher dispatcher,
            GenerationRequest request,
            RequestId requestId,
            String requestDigest,
            DecisionNotes notes,
            Consumer<CallerResult> result,
            Consumer<ExchangeEnd> onEnd) {
        this.services = services;
        this.dispatcher = dispatcher;
        this.request = request;
        this.requestId = requestId;
        this.requestDigest = requestDigest;
        this.notes = notes;
        this.result = result;
        this.onEnd = onEnd;
        this.arrivedNanos = services.entry().nowNanos();
        this.deadlineNanos =
                arrivedNanos + TimeUnit.MILLISECONDS.toNanos(services.limits().requestTimeoutMs());
        this.assembler = new StreamAssembler("gen-" + requestId.value());
        this.attempts = new Attempts(
                services, dispatcher, notes, target(), requestId, requestDigest, true, MAX_ATTEMPTS, deadlineNanos);
    }

    /** Sends the first attempt, or refuses at once. */
    synchronized void start() {
        attempt();
    }

    /** Cancels whatever runs; nobody waits for the answer any more. */
    void callerGone() {
        final Optional<SendHandle> handle;
        synchronized (this) {
            if (ended) {
                return;
            }
            handle = attempts.callerGone();
            notes.add("", "cancelled", "the caller closed its connection");
            finish(RequestOutcome.CANCELLED);
        }
        handle.ifPresent(SendHandle::cancel);
    }

    private RouteTarget target() {
        return new RouteTarget(EndpointKind.ENGINE, request.model());
    }

    private synchronized void attempt() {
        if (ended) {
            return;
        }
        if (services.entry().nowNanos() - deadlineNanos >= 0) {
            giveUp(new WigeongradeException(ErrorKind.ENDPOINT_TIMEOUT, "the request's deadline passed"));
            return;
        }
        final RouteRequest wanted = new RouteRequest(
                target(),
                request.prefixes(),
                request.priority(),
                excluded(),
                services.entry().zone(),
                services.entry().self(),
                false);
        final Dispatch dispatch =
                dispatcher.dispatch(wanted, requestDigest, OptionalLong.empty(), deadlineNanos, notes);
        if (dispatch instanceof Dispatch.Refused refused) {
            refusedBeforeSend(refused.failure());
            return;
        }
        send((Dispatch.Ready) dispatch);
    }

    /** A first attempt that finds no endpoint is refused at once; a later one waits for its turn. */
    private void refusedBeforeSend(WigeongradeException failure) {
        final boolean waits = failure.kind() != ErrorKind.REQUEST_QUARANTINED && attempts.made() > 0;
        if (!waits) {
            giveUp(failure);
            return;
        }
        attempts.forgetTried();
        services.delay().run(this::attempt, WAIT_FOR_SLOT_MS);
    }

    /** Returns the endpoints that this request must not go to: those it was tried on, and other model versions. */
    private ImmutableSet<EndpointId> excluded() {
        final ImmutableSet.Builder<EndpointId> excluded =
                ImmutableSet.<EndpointId>builder().addAll(attempts.tried());
        if (modelVersion.isPresent()) {
            services.entry().view().all().stream()
                    .map(EndpointView::id)
                    .filter(id -> !versionOf(id).equals(modelVersion))
                    .forEach(excluded::add);
        }
        return excluded.build();
    }

    private Optional<String> versionOf(EndpointId endpoint) {
        return services.entry().view().records().stream()
                .filter(record -> record.getId().equals(endpoint.value()))
                .map(record -> record.getModelVersion())
                .findFirst();
    }

    private void send(Dispatch.Ready ready) {
        modelVersion = modelVersion.or(() -> versionOf(ready.endpoint().id()));
        final AttemptProgress running = attempts.begin(ready);
        final EndpointRequest outgoing = new EndpointRequest(
                running.attemptId(),
                ready.endpoint().address(),
                "POST",
                request.api().path(),
                ImmutableMap.of("Content-Type", "application/json"),
                request.bodyContinuing(assembler.text()),
                request.priority(),
                deadlineNanos,
                Duration.ofMillis(services.limits().connectTimeoutMs()),
                stallTimeout());
        final AnswerListener listener =
                request.stream() ? new StreamListener(running, assembler.beginAttempt()) : new WholeListener(running);
        attempts.sent(services.client().send(outgoing, listener));
    }

    private Duration stallTimeout() {
        final long wholeMs = services.limits().requestTimeoutMs();
        return Duration.ofMillis(request.stream() ? services.limits().stallTimeoutMs() : wholeMs);
    }

    /** Ends an attempt that failed, and tries again where the rules allow it. */
    private synchronized void attemptFailed(AttemptProgress running, AttemptOutcome outcome, String detail) {
        if (ended || !attempts.isRunning(running)) {
            return;
        }
        final boolean resumed = assembler.forwardedAny();
        final boolean resumable = !resumed || assembler.isResumable();
        attempts.failed(running, outcome, detail, resumable, resumed).ifPresentOrElse(this::giveUp, this::attempt);
    }

    private void giveUp(WigeongradeException failure) {
        final WigeongradeException told = attempts.truthful(failure, ErrorKind.ENDPOINT_FAILED);
        services.metrics().refused(told.kind());
        notes.add("", "refused", told.kind().code() + ": " + told.getMessage());
        services.events()
                .write(LogEvent.REQUEST_REFUSED, requestId, "-", told.kind().code(), told.getMessage());
        if (stream.isPresent()) {
            final String event = "data: " + Answers.json(told, requestId.value()) + "\n\n";
            stream.get().push(event.getBytes(StandardCharsets.UTF_8), () -> {});
            stream.get().complete();
        } else {
            result.accept(new CallerResult.Failed(told));
        }
        final boolean refused = told.kind().runClaim() == RunClaim.NOT_RUN;
        finish(refused ? RequestOutcome.REFUSED : RequestOutcome.FAILED);
    }

    private void finish(RequestOutcome outcome) {
        ended = true;
        onEnd.accept(new ExchangeEnd(outcome, attempts.zone(), tokens));
    }

    /** Hands one streamed answer on event by event. */
    private final class StreamListener implements AnswerListener {
        private final AttemptProgress running;
        private final int attemptNumber;
        private final EventFramer framer = new EventFramer(MAX_EVENT_BYTES);
        private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();

        StreamListener(AttemptProgress running, int attemptNumber) {
            this.running = running;
            this.attemptNumber = attemptNumber;
        }

        @Override
        public void onHead(AnswerHead head) {
            synchronized (GenerationExchange.this) {
                running.began(head);
                attempts.noteColdSign(running);
            }
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            synchronized (GenerationExchange.this) {
                if (running.head().status() == HTTP_OK && !running.belongsToOther()) {
                    acceptEvents(bytes, readMore);
                    return;
                }
                errorBody.writeBytes(bytes);
            }
            readMore.run();
        }

        @Override
        public void onEnd() {
            synchronized (GenerationExchange.this) {
                final AttemptOutcome outcome = running.wholeAnswer();
                if (outcome.event() != AttemptEvent.ANSWERED) {
                    attemptFailed(running, outcome, "status " + running.head().status());
                    return;
                }
                if (running.head().status() != HTTP_OK) {
                    passErrorOn();
                    return;
                }
                assembler
                        .ended(attemptNumber)
                        .ifPresent(fail -> attemptFailed(running, new AttemptOutcome(fail.event()), fail.message()));
            }
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            if (stream.filter(BodyStream::isBlocked).isPresent()) {
                callerGone();
                return;
            }
            synchronized (GenerationExchange.this) {
                if (!assembler.isWhole()) {
                    attemptFailed(running, running.failed(failure), detail);
                }
            }
        }

        private void acceptEvents(byte[] bytes, Runnable readMore) {
            final StringBuilder forward = new StringBuilder();
            for (final String data : framer.accept(bytes)) {
                final StreamStep step = assembler.accept(attemptNumber, data);
                if (step instanceof StreamStep.Forward event) {
                    append(forward, event.data());
                } else if (step instanceof StreamStep.Finish finish) {
                    finish.data().forEach(event -> append(forward, event));
                } else if (step instanceof StreamStep.Fail fail) {
                    handOn(forward, () -> {});
                    attempts.cancelConnection();
                    attemptFailed(running, new AttemptOutcome(fail.event()), fail.message());
                    return;
                }
            }
            handOn(forward, readMore);
            if (assembler.isWhole() && !ended) {
                attempts.answered(running);
                stream.ifPresent(BodyStream::complete);
                finish(RequestOutcome.COMPLETED);
            }
        }

        private void append(StringBuilder forward, String data) {
            forward.append("data: ").append(data).append("\n\n");
            noteToken();
        }

        private void noteToken() {
            final long nowNanos = services.entry().nowNanos();
            if (tokens == 0) {
                services.metrics().firstByteSent(nowNanos - arrivedNanos);
            } else {
                services.metrics().tokenSent(nowNanos - lastTokenNanos);
            }
            tokens++;
            lastTokenNanos = nowNanos;
        }

        private void handOn(StringBuilder forward, Runnable readMore) {
            if (forward.length() == 0) {
                readMore.run();
                return;
            }
            if (stream.isEmpty()) {
                final BodyStream body =
                        new BodyStream(() -> services.delay().run(GenerationExchange.this::callerGone, 0));
                stream = Optional.of(body);
                result.accept(new CallerResult.Streamed(HTTP_OK, AnswerHeaders.EVENT_STREAM, body));
            }
            stream.get().push(forward.toString().getBytes(StandardCharsets.UTF_8), readMore);
        }

        private void passErrorOn() {
            attempts.answered(running);
            if (stream.isPresent()) {
                giveUp(new WigeongradeException(
                        ErrorKind.ENDPOINT_FAILED,
                        "the engine refused to go on: status " + running.head().status()));
                return;
            }
            passOn(running, errorBody.toByteArray());
        }
    }

    private void passOn(AttemptProgress running, byte[] body) {
        services.metrics().firstByteSent(services.entry().nowNanos() - arrivedNanos);
        result.accept(new CallerResult.Whole(
                running.head().status(), AnswerHeaders.forCaller(running.head().headers()), body));
        finish(RequestOutcome.COMPLETED);
    }

    /** Collects one answer that is not streamed and hands it on as a whole. */
    private final class WholeListener implements AnswerListener {
        private final AttemptProgress running;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        WholeListener(AttemptProgress running) {
            this.running = running;
        }

        @Override
        public void onHead(AnswerHead head) {
            synchronized (GenerationExchange.this) {
                running.began(head);
                attempts.noteColdSign(running);
            }
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            synchronized (GenerationExchange.this) {
                body.writeBytes(bytes);
                if (body.size() > MAX_WHOLE_ANSWER_BYTES) {
                    attempts.cancelConnection();
                    attemptFailed(running, new AttemptOutcome(AttemptEvent.CUT_SHORT), "the answer is too large");
                    return;
                }
            }
            readMore.run();
        }

        @Override
        public void onEnd() {
            synchronized (GenerationExchange.this) {
                final AttemptOutcome outcome = running.wholeAnswer();
                if (outcome.event() != AttemptEvent.ANSWERED) {
                    attemptFailed(running, outcome, "status " + running.head().status());
                    return;
                }
                if (ended) {
                    return;
                }
                attempts.answered(running);
                tokens = GenerationUsage.completionTokens(body.toByteArray());
                passOn(running, body.toByteArray());
            }
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            attemptFailed(running, running.failed(failure), detail);
        }
    }
}
