package org.wigeongrade.callers;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeongrade.decisions.outcomes.AttemptEvent;
import org.wigeongrade.decisions.outcomes.AttemptOutcome;
import org.wigeongrade.decisions.outcomes.EventStreamDecoder;
import org.wigeongrade.decisions.outcomes.StreamAction;
import org.wigeongrade.decisions.outcomes.StreamAssembler;
import org.wigeongrade.decisions.routing.EndpointKind;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.decisions.routing.RouteRequest;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.endpoints.EndpointRequest;
import org.wigeongrade.endpoints.ResponseHead;
import org.wigeongrade.endpoints.ResponseListener;
import org.wigeongrade.endpoints.SendFailure;
import org.wigeongrade.endpoints.SendHandle;
import org.wigeongrade.errors.ErrorJson;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.RequestOutcome;

/**
 * Serves one generation with one or more sequential attempts.
 *
 * <p>Invariants: the caller gets exactly one result; all attempts run the same model version, and each continues
 * exactly after the text that the caller already has; a slot is held exactly while its attempt runs. Thread safe: every
 * field is guarded by this object's lock, which is taken before the locks of the shared tables and never after them.
 */
final class GenerationExchange {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_EVENT_BYTES = 256 * 1024;
    /** Bytes that are read after the end of a complete stream; beyond them the connection is left to time out. */
    private static final int MAX_BYTES_AFTER_END = 64 * 1024;

    private static final long DISPATCH_RETRY_DELAY_MS = 100;
    private static final int HTTP_OK = 200;

    private final CallerDependencies dependencies;
    private final Dispatcher dispatcher;
    private final GenerationRequest request;
    private final RequestId requestId;
    private final String requestDigest;
    private final DecisionRecorder decisions;
    private final Consumer<CallerResult> result;
    private final Consumer<ExchangeSummary> onEnd;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final StreamAssembler assembler;

    private final Attempts attempts;
    private boolean ended;
    private long lastTokenNanos;
    private long tokens;
    private Optional<ResponseBodyStream> stream = Optional.empty();
    private Optional<String> modelVersion = Optional.empty();

    GenerationExchange(
            CallerDependencies dependencies,
            Dispatcher dispatcher,
            GenerationRequest request,
            RequestId requestId,
            String requestDigest,
            DecisionRecorder decisions,
            Consumer<CallerResult> result,
            Consumer<ExchangeSummary> onEnd) {
        this.dependencies = dependencies;
        this.dispatcher = dispatcher;
        this.request = request;
        this.requestId = requestId;
        this.requestDigest = requestDigest;
        this.decisions = decisions;
        this.result = result;
        this.onEnd = onEnd;
        this.arrivedNanos = dependencies.entry().nowNanos();
        this.deadlineNanos = arrivedNanos
                + TimeUnit.MILLISECONDS.toNanos(dependencies.limits().requestTimeoutMs());
        this.assembler = new StreamAssembler("gen-" + requestId.value());
        this.attempts = new Attempts(
                dependencies,
                dispatcher,
                decisions,
                target(),
                requestId,
                requestDigest,
                true,
                MAX_ATTEMPTS,
                deadlineNanos);
    }

    /** Sends the first attempt, or refuses the request immediately. */
    synchronized void start() {
        startAttempt();
    }

    /** Cancels the running attempt and ends the exchange, because the caller disconnected. */
    void onCallerDisconnect() {
        final Optional<SendHandle> handle;
        synchronized (this) {
            if (ended) {
                return;
            }
            handle = attempts.cancelCurrent();
            decisions.add("", "cancelled", "the caller closed its connection");
            finish(RequestOutcome.CANCELLED);
        }
        handle.ifPresent(SendHandle::cancel);
    }

    private RouteTarget target() {
        return new RouteTarget(EndpointKind.ENGINE, request.model());
    }

    private synchronized void startAttempt() {
        if (ended) {
            return;
        }
        if (dependencies.entry().nowNanos() - deadlineNanos >= 0) {
            endWithError(new WigeongradeException(ErrorKind.ENDPOINT_TIMEOUT, "the deadline of the request passed"));
            return;
        }
        final RouteRequest routeRequest = new RouteRequest(
                target(),
                request.prefixDigests(),
                request.priority(),
                excludedEndpoints(),
                dependencies.entry().zone(),
                dependencies.entry().self(),
                false);
        final DispatchResult dispatch =
                dispatcher.dispatch(routeRequest, requestDigest, OptionalLong.empty(), deadlineNanos, decisions);
        if (dispatch instanceof DispatchResult.Refused refused) {
            onDispatchRefused(refused.failure());
            return;
        }
        send((DispatchResult.Ready) dispatch);
    }

    /** Refuses the request if this was its first attempt or it is quarantined; otherwise tries again after a delay. */
    private void onDispatchRefused(WigeongradeException failure) {
        if (attempts.count() == 0 || !mayHelpToWait(failure.kind())) {
            endWithError(failure);
            return;
        }
        attempts.clearTriedEndpoints();
        dependencies.scheduler().schedule(this::startAttempt, DISPATCH_RETRY_DELAY_MS);
    }

    /** A request that this VM cannot send is better retried at another one, unless its response has begun here. */
    private boolean mayHelpToWait(ErrorKind refusal) {
        return switch (refusal) {
            case REQUEST_QUARANTINED -> false;
            case NO_ENDPOINT_REACHABLE -> assembler.forwardedAny();
            default -> true;
        };
    }

    /**
     * Returns the endpoints that this request must not use: those already tried, and those with another model version.
     */
    private ImmutableSet<EndpointId> excludedEndpoints() {
        final ImmutableSet.Builder<EndpointId> excluded =
                ImmutableSet.<EndpointId>builder().addAll(attempts.triedEndpoints());
        if (modelVersion.isPresent()) {
            dependencies.entry().view().allEndpoints().stream()
                    .map(EndpointView::id)
                    .filter(id -> !modelVersionOf(id).equals(modelVersion))
                    .forEach(excluded::add);
        }
        return excluded.build();
    }

    private Optional<String> modelVersionOf(EndpointId endpoint) {
        return dependencies.entry().view().records().stream()
                .filter(record -> record.getId().equals(endpoint.value()))
                .map(record -> record.getModelVersion())
                .findFirst();
    }

    private void send(DispatchResult.Ready dispatch) {
        modelVersion = modelVersion.or(() -> modelVersionOf(dispatch.endpoint().id()));
        final AttemptProgress attempt = attempts.begin(dispatch);
        final EndpointRequest outgoing = new EndpointRequest(
                attempt.attemptId(),
                dispatch.endpoint().address(),
                "POST",
                request.api().path(),
                ImmutableMap.of("Content-Type", "application/json"),
                request.bodyContinuingFrom(assembler.text()),
                request.priority(),
                deadlineNanos,
                Duration.ofMillis(dependencies.limits().connectTimeoutMs()),
                stallTimeout());
        final ResponseListener listener = request.stream()
                ? new StreamingListener(attempt, assembler.beginAttempt())
                : new BufferingListener(attempt);
        attempts.setHandle(dependencies.client().send(outgoing, listener));
    }

    private Duration stallTimeout() {
        final long requestTimeoutMs = dependencies.limits().requestTimeoutMs();
        return Duration.ofMillis(request.stream() ? dependencies.limits().stallTimeoutMs() : requestTimeoutMs);
    }

    /** Ends a failed attempt, then starts the next one if the retry rules allow it. */
    private synchronized void attemptFailed(AttemptProgress attempt, AttemptOutcome outcome, String detail) {
        if (ended || !attempts.isCurrent(attempt)) {
            return;
        }
        final boolean resumed = assembler.forwardedAny();
        final boolean resumable = !resumed || assembler.isResumable();
        attempts.recordFailure(attempt, outcome, detail, resumable, resumed)
                .ifPresentOrElse(this::endWithError, this::startAttempt);
    }

    /** Ends an attempt whose response is too long to be held. */
    private void giveUp(AttemptProgress attempt) {
        attempts.cancelConnection();
        attemptFailed(
                attempt,
                attempt.failedOutcome(SendFailure.CONNECTION_LOST),
                "the response exceeds " + HeldBody.MAX_BYTES + " bytes");
    }

    private void endWithError(WigeongradeException failure) {
        final WigeongradeException reported = attempts.withCorrectRunStatus(failure, ErrorKind.ENDPOINT_FAILED);
        dependencies.metrics().countRefusal(reported.kind());
        decisions.add("", "refused", reported.kind().code() + ": " + reported.getMessage());
        dependencies
                .events()
                .write(LogEvent.REQUEST_REFUSED, requestId, "-", reported.kind().code(), reported.getMessage());
        if (stream.isPresent()) {
            attempts.recordCut(reported, tokens);
            final String event = "data: " + ErrorJson.render(reported, requestId.value()) + "\n\n";
            stream.get().push(event.getBytes(StandardCharsets.UTF_8), () -> {});
            stream.get().complete();
        } else {
            result.accept(new CallerResult.Failed(reported));
        }
        final boolean refused = reported.kind().runStatus() == RunStatus.NOT_RUN;
        finish(refused ? RequestOutcome.REFUSED : RequestOutcome.FAILED);
    }

    private void finish(RequestOutcome outcome) {
        ended = true;
        onEnd.accept(new ExchangeSummary(outcome, attempts.lastZone(), tokens));
    }

    /** Forwards the streamed response of one attempt to the caller, event by event. */
    private final class StreamingListener implements ResponseListener {
        private final AttemptProgress attempt;
        private final int attemptNumber;
        private final EventStreamDecoder decoder = new EventStreamDecoder(MAX_EVENT_BYTES);
        private final HeldBody errorBody = new HeldBody();
        private long bytesAfterEnd;

        StreamingListener(AttemptProgress attempt, int attemptNumber) {
            this.attempt = attempt;
            this.attemptNumber = attemptNumber;
        }

        @Override
        public void onHead(ResponseHead head) {
            synchronized (GenerationExchange.this) {
                attempts.recordHead(attempt, head);
            }
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            synchronized (GenerationExchange.this) {
                if (attempt.head().status() == HTTP_OK && !attempt.isMismatched()) {
                    acceptEvents(bytes, readMore);
                    return;
                }
                if (!errorBody.append(bytes)) {
                    giveUp(attempt);
                    return;
                }
            }
            readMore.run();
        }

        @Override
        public void onEnd() {
            synchronized (GenerationExchange.this) {
                final AttemptOutcome outcome = attempt.completedOutcome();
                if (outcome.event() != AttemptEvent.ANSWERED) {
                    attemptFailed(attempt, outcome, "status " + attempt.head().status());
                    return;
                }
                if (attempt.head().status() != HTTP_OK) {
                    forwardErrorResponse();
                    return;
                }
                assembler
                        .ended(attemptNumber)
                        .ifPresent(fail -> attemptFailed(attempt, new AttemptOutcome(fail.event()), fail.message()));
            }
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            if (stream.filter(ResponseBodyStream::isSourcePaused).isPresent()) {
                onCallerDisconnect();
                return;
            }
            synchronized (GenerationExchange.this) {
                if (!assembler.isComplete()) {
                    attemptFailed(attempt, attempt.failedOutcome(failure), detail);
                }
            }
        }

        private void acceptEvents(byte[] bytes, Runnable readMore) {
            if (assembler.isComplete()) {
                bytesAfterEnd += bytes.length;
                if (bytesAfterEnd > MAX_BYTES_AFTER_END) {
                    return;
                }
            }
            final ImmutableList<String> decoded;
            try {
                decoded = decoder.accept(bytes);
            } catch (IllegalArgumentException e) {
                attempts.cancelConnection();
                attemptFailed(attempt, attempt.failedOutcome(SendFailure.CONNECTION_LOST), e.getMessage());
                return;
            }
            final StringBuilder events = new StringBuilder();
            for (final String data : decoded) {
                final StreamAction action = assembler.accept(attemptNumber, data);
                if (action instanceof StreamAction.Forward event) {
                    append(events, event.data());
                } else if (action instanceof StreamAction.Finish finish) {
                    finish.data().forEach(event -> append(events, event));
                } else if (action instanceof StreamAction.Fail fail) {
                    sendToCaller(events, () -> {});
                    attempts.cancelConnection();
                    attemptFailed(attempt, new AttemptOutcome(fail.event()), fail.message());
                    return;
                }
            }
            sendToCaller(events, readMore);
            if (assembler.isComplete() && !ended) {
                attempts.recordResponse(attempt);
                stream.ifPresent(ResponseBodyStream::complete);
                finish(RequestOutcome.COMPLETED);
            }
        }

        private void append(StringBuilder events, String data) {
            events.append("data: ").append(data).append("\n\n");
            recordToken();
        }

        private void recordToken() {
            final long nowNanos = dependencies.entry().nowNanos();
            if (tokens == 0) {
                dependencies.metrics().recordTimeToFirstByte(nowNanos - arrivedNanos);
            } else {
                dependencies.metrics().recordTokenGap(nowNanos - lastTokenNanos);
            }
            tokens++;
            lastTokenNanos = nowNanos;
        }

        private void sendToCaller(StringBuilder events, Runnable readMore) {
            if (events.length() == 0) {
                readMore.run();
                return;
            }
            if (stream.isEmpty()) {
                final ResponseBodyStream body = new ResponseBodyStream(
                        () -> dependencies.scheduler().schedule(GenerationExchange.this::onCallerDisconnect, 0));
                stream = Optional.of(body);
                result.accept(new CallerResult.Streamed(HTTP_OK, HeaderFilter.EVENT_STREAM_HEADERS, body));
            }
            stream.get().push(events.toString().getBytes(StandardCharsets.UTF_8), readMore);
        }

        private void forwardErrorResponse() {
            attempts.recordResponse(attempt);
            if (stream.isPresent()) {
                endWithError(new WigeongradeException(
                        ErrorKind.ENDPOINT_FAILED,
                        "the engine refused to resume the generation: status "
                                + attempt.head().status()));
                return;
            }
            respondBuffered(attempt, errorBody.toByteArray());
        }
    }

    private void respondBuffered(AttemptProgress attempt, byte[] body) {
        dependencies.metrics().recordTimeToFirstByte(dependencies.entry().nowNanos() - arrivedNanos);
        result.accept(new CallerResult.Buffered(
                attempt.head().status(),
                HeaderFilter.fromEndpoint(attempt.head().headers()),
                body));
        finish(RequestOutcome.COMPLETED);
    }

    /** Buffers the response of one attempt that is not streamed and sends it to the caller when it is complete. */
    private final class BufferingListener implements ResponseListener {
        private final AttemptProgress attempt;
        private final HeldBody body = new HeldBody();

        BufferingListener(AttemptProgress attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onHead(ResponseHead head) {
            synchronized (GenerationExchange.this) {
                attempts.recordHead(attempt, head);
            }
        }

        @Override
        public void onBytes(byte[] bytes, Runnable readMore) {
            synchronized (GenerationExchange.this) {
                if (!body.append(bytes)) {
                    giveUp(attempt);
                    return;
                }
            }
            readMore.run();
        }

        @Override
        public void onEnd() {
            synchronized (GenerationExchange.this) {
                final AttemptOutcome outcome = attempt.completedOutcome();
                if (outcome.event() != AttemptEvent.ANSWERED) {
                    attemptFailed(attempt, outcome, "status " + attempt.head().status());
                    return;
                }
                if (ended) {
                    return;
                }
                attempts.recordResponse(attempt);
                tokens = GenerationUsage.completionTokens(body.toByteArray());
                respondBuffered(attempt, body.toByteArray());
            }
        }

        @Override
        public void onFailure(SendFailure failure, String detail) {
            attemptFailed(attempt, attempt.failedOutcome(failure), detail);
        }
    }
}
