package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.balancing.EngineLatencyModel;
import org.wigeongrade.decisions.outcomes.QuarantinedParts;
import org.wigeongrade.decisions.outcomes.QuarantinedRequests;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.RetryReason;

/**
 * One attempt of an exchange at one endpoint. Used on the event loop only.
 *
 * <p>Invariant: reports its outcome to the exchange exactly once, unless it was cancelled.
 */
final class EndpointAttempt implements Attempt, EndpointListener {
    /** Bytes of a body that is not streamed that count as progress; fewer may be a trickle without end. */
    private static final int PROGRESS_BYTES = 1_024;
    /** An event holds a few tokens, so that a longer one never ends. */
    static final int MAX_EVENT_BYTES = 64 * 1024;
    /** A stall check that runs this late shows that this process was paused, not that the endpoint stalled. */
    private static final long LOCAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    /** Fraction of the stall timeout for which the endpoint must not have responded to any request of this node. */
    private static final double ENDPOINT_STALL_FRACTION = 0.8;
    /** Minimum time between two stall checks, in milliseconds. */
    private static final long MIN_CHECK_INTERVAL_MS = 20;

    private final Exchange exchange;
    private final EntryServices services;
    private final EndpointLoad endpoint;
    private final Optional<EngineLatencyModel> engine;
    private final double predictedMs;
    private final long startedNanos;
    private final ServerSentEventSplitter eventSplitter = new ServerSentEventSplitter();
    private final BufferedBody body;
    private final StreamPart streamPart = new StreamPart();
    private Optional<ResponseHead> head = Optional.empty();
    private boolean restrictionsDecided;
    private Optional<ScheduledFuture<?>> stallCheck = Optional.empty();
    private long stallCheckDueNanos;
    private long lastProgressNanos;
    private long lastEventNanos;
    private int receivedBodyBytes;
    private int unreadTokens;
    private int events;
    private boolean reading = true;
    private EndpointCall call;

    EndpointAttempt(
            Exchange exchange,
            EndpointLoad endpoint,
            Optional<EngineLatencyModel> engine,
            double predictedMs,
            long nowNanos) {
        this.exchange = exchange;
        this.services = exchange.services();
        this.endpoint = endpoint;
        this.engine = engine;
        this.predictedMs = predictedMs;
        this.startedNanos = nowNanos;
        this.lastProgressNanos = nowNanos;
        this.body = services.bufferedBodies().open(new BufferedBody.Source() {
            @Override
            public void setReading(boolean enabled) {
                call.setReading(enabled);
            }

            @Override
            public void giveUp(String cause) {
                rejectResponse(cause);
            }
        });
    }

    EndpointLoad endpoint() {
        return endpoint;
    }

    void start(FullHttpRequest message, boolean retryable) {
        unreadTokens = exchange.request().promptTokens();
        endpoint.recordPromptSent(unreadTokens);
        call = new EndpointCall(exchange.request().attemptId(), message, this);
        if (retryable) {
            scheduleStallCheck(stallTimeoutMs());
        }
        services.connectionPool().send(endpoint, call, retryable);
    }

    @Override
    public void suspendSilenceCheck() {
        stallCheck.ifPresent(timer -> timer.cancel(false));
    }

    @Override
    public void resumeSilenceCheck() {
        lastProgressNanos = services.nowNanos();
        scheduleStallCheck(stallTimeoutMs());
    }

    @Override
    public void setReading(boolean enabled) {
        reading = enabled;
        call.setReading(enabled);
    }

    @Override
    public Optional<VmIncarnation> endpointVm() {
        return Optional.of(endpoint.vm());
    }

    @Override
    public String target() {
        return endpoint.vm().toString();
    }

    @Override
    public String describe() {
        final long silentMs = TimeUnit.NANOSECONDS.toMillis(services.nowNanos() - lastProgressNanos);
        return call.describe() + " to " + endpoint.vm() + ", " + events + " events, no bytes for " + silentMs + " ms";
    }

    @Override
    public void cancel() {
        stopTracking();
        body.release();
        call.cancel();
    }

    @Override
    public boolean isSent() {
        return call.isSent();
    }

    @Override
    public void onHead(ResponseHead received) {
        recordProgress();
        receivedBodyBytes = 0;
        head = Optional.of(received);
        if (isStream()) {
            recordRestrictions();
        }
        final boolean unusable = received.isSuccess() && (!received.signed() || received.contentEncoded());
        if (unusable) {
            rejectResponse("the response is not signed by the endpoint or its body was encoded in transit");
        } else if (isStream()) {
            exchange.stream().startPart(streamPart, received).ifPresent(this::rejectResponse);
        }
    }

    /**
     * Records what the endpoint asks of this node, once. For a stream that is due with its head, else with its end, since
     * the body may show that the bytes are no response.
     */
    private void recordRestrictions() {
        if (head.isEmpty() || restrictionsDecided) {
            return;
        }
        restrictionsDecided = true;
        final ResponseHead received = head.get();
        if (received.leaving()) {
            services.registry().recordLeaving(endpoint);
        }
        if (received.requestsPerSecond().isPresent() || received.signed()) {
            services.registry().recordLimit(endpoint, received.requestsPerSecond(), services.nowNanos());
        }
        received.pauseMs().ifPresent(ms -> services.registry().recordPause(endpoint, ms, services.nowNanos()));
    }

    @Override
    public void onBody(byte[] bytes) {
        if (!isStream()) {
            receivedBodyBytes += bytes.length;
            if (receivedBodyBytes >= PROGRESS_BYTES) {
                receivedBodyBytes = 0;
                recordProgress();
            }
            body.append(bytes);
            return;
        }
        for (final ServerSentEventSplitter.Event event : eventSplitter.accept(bytes)) {
            recordProgress();
            recordEvent();
            final Optional<String> fault = exchange.acceptEvent(this, streamPart, head.orElseThrow(), event);
            if (fault.isPresent()) {
                rejectResponse(fault.get());
                return;
            }
        }
        if (eventSplitter.partialBytes() > MAX_EVENT_BYTES) {
            rejectResponse("an event of the stream exceeds " + MAX_EVENT_BYTES + " bytes");
        }
    }

    @Override
    public void onComplete() {
        stopTracking();
        final ResponseHead finishedHead = head.orElseThrow();
        if (finishedHead.isRefusalOf(exchange.request().attemptId())) {
            body.release();
            endpoint.recordFailure(services.nowNanos());
            finishedHead.faultyVm().ifPresent(vm -> services.registry().recordFaultyVm(endpoint, vm));
            exchange.onNotRun(
                    this, RetryReason.ENDPOINT_REFUSED, "the endpoint responded with status " + finishedHead.status());
        } else if (finishedHead.notRun() || (finishedHead.promisesNotRun() && !exchange.mayRunTwice())) {
            body.release();
            endpoint.recordFailure(services.nowNanos());
            exchange.onMayHaveRun(
                    this,
                    RetryReason.ANSWER_MISMATCHED,
                    "status " + finishedHead.status() + " without a refusal of this request");
        } else if (isStream()) {
            finishStream();
        } else {
            finishResponse(finishedHead);
        }
    }

    @Override
    public void onConnectionOpened() {
        services.endpointLinks().recordOpened();
    }

    @Override
    public void onNotSent(String cause, boolean connectionRefused) {
        stopTracking();
        services.endpointLinks().recordFailure(endpoint);
        if (connectionRefused) {
            endpoint.recordRefusedConnection(services.nowNanos());
            services.registry().recordPossibleLoss(endpoint.vm());
        } else {
            endpoint.recordFailure(services.nowNanos());
        }
        exchange.onNotRun(this, RetryReason.CONNECT_FAILED, cause);
    }

    @Override
    public void onFailedAfterSend(String cause) {
        stopTracking();
        body.release();
        recordLoss(cause);
        exchange.onMayHaveRun(this, reasonForCut(), cause);
    }

    @Override
    public void onInvalidResponse(String cause) {
        restrictionsDecided = true;
        onFailedAfterSend(cause);
    }

    @Override
    public void onFailedHere(String cause) {
        stopTracking();
        body.release();
        exchange.onMayHaveRun(this, reasonForCut(), cause);
    }

    private RetryReason reasonForCut() {
        return exchange.stream().hasBegun() ? RetryReason.STREAM_CUT_SHORT : RetryReason.ANSWER_CUT_SHORT;
    }

    /** Records a failure that a crash of the endpoint would explain. */
    private void recordLoss(String cause) {
        endpoint.recordFailure(services.nowNanos());
        services.endpointLinks().recordFailure(endpoint);
        final String digest = exchange.digest();
        exchange.log().lost(endpoint, exchange.request(), digest, elapsedMs(), events, cause);
        services.registry().recordCrash(digest, exchange.request().sharedPromptParts(), endpoint, services.nowNanos());
    }

    private void finishStream() {
        if (eventSplitter.hasPartialEvent()) {
            final String cause = "the stream ended within an event";
            recordLoss(cause);
            exchange.onMayHaveRun(this, RetryReason.STREAM_CUT_SHORT, cause);
            return;
        }
        recordCompletion();
        endpoint.recordSuccess();
        exchange.beginStream(this, head.orElseThrow());
        exchange.onStreamEnd(this);
    }

    private void finishResponse(ResponseHead finishedHead) {
        recordProgress();
        body.markComplete();
        final BufferedResponse response = new BufferedResponse(finishedHead.status(), finishedHead.headers(), body);
        if (finishedHead.isServerError()) {
            endpoint.recordFailure(services.nowNanos());
            exchange.onErrorResponse(this, response);
            return;
        }
        recordCompletion();
        endpoint.recordSuccess();
        endpoint.recordLatency(elapsedMs(), predictedMs);
        exchange.onResponse(this, response);
    }

    /** A response that ends with its connection may have been ended by a crash, so that alone it proves nothing. */
    private void recordCompletion() {
        final ResponseHead finishedHead = head.orElseThrow();
        final Set<PromptPartId> promptParts = exchange.request().sharedPromptParts();
        final QuarantinedParts parts = services.registry().quarantinedParts();
        if (!finishedHead.isSuccess()) {
            return;
        }
        if (finishedHead.selfDelimited()) {
            parts.recordCompleted(promptParts, services.nowNanos());
        } else {
            parts.recordEndedWithConnection(endpoint.vm(), promptParts, services.nowNanos());
        }
        final QuarantinedRequests requests = services.registry().quarantinedRequests();
        if (requests.hasNoTrial()) {
            return;
        }
        if (finishedHead.selfDelimited()) {
            requests.recordCompleted(exchange.digest());
        } else {
            requests.recordEndedWithConnection(endpoint.vm(), exchange.digest(), services.nowNanos());
        }
    }

    private void rejectResponse(String cause) {
        services.events()
                .write(
                        LogEvent.ANSWER_REJECTED,
                        endpoint.vm(),
                        exchange.request().logId(),
                        cause);
        cancel();
        endpoint.recordFailure(services.nowNanos());
        exchange.onMayHaveRun(this, RetryReason.ANSWER_MISMATCHED, cause);
    }

    private boolean isStream() {
        return exchange.route().kind().streams()
                && head.filter(ResponseHead::isSuccess).isPresent();
    }

    private void recordProgress() {
        lastProgressNanos = services.nowNanos();
        endpoint.recordProgress(lastProgressNanos);
    }

    private void recordEvent() {
        final long nowNanos = services.nowNanos();
        if (events == 0) {
            recordPromptRead();
            endpoint.recordStreamStarted();
            engine.ifPresent(model -> model.recordFirstEvent(elapsedMs(), predictedMs));
        } else {
            engine.ifPresent(model ->
                    endpoint.recordLatency((nowNanos - lastEventNanos) / 1e6, model.passMs(endpoint.totalInFlight())));
        }
        lastEventNanos = nowNanos;
        events++;
    }

    private double elapsedMs() {
        return (services.nowNanos() - startedNanos) / 1e6;
    }

    private void recordPromptRead() {
        endpoint.recordPromptDone(unreadTokens);
        unreadTokens = 0;
    }

    private void stopTracking() {
        recordRestrictions();
        recordPromptRead();
        if (events > 0) {
            endpoint.recordStreamEnded();
        }
        stallCheck.ifPresent(timer -> timer.cancel(false));
        endpoint.recordEnded(services.nowNanos());
    }

    private long stallTimeoutMs() {
        return events == 0 ? StallTimeouts.firstBytesMs(predictedMs) : StallTimeouts.nextEventMs(exchange.route());
    }

    private void scheduleStallCheck(long delayMs) {
        stallCheckDueNanos = services.nowNanos() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        stallCheck =
                Optional.of(services.loop().eventLoop().schedule(this::checkForStall, delayMs, TimeUnit.MILLISECONDS));
    }

    private void checkForStall() {
        final long nowNanos = services.nowNanos();
        if (nowNanos - stallCheckDueNanos > LOCAL_PAUSE_NANOS || !reading || body.isPaused()) {
            lastProgressNanos = nowNanos;
        }
        final long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(stallTimeoutMs());
        final long sinceProgressNanos = nowNanos - lastProgressNanos;
        final boolean stalled = sinceProgressNanos >= timeoutNanos
                && endpoint.stalledNanos(nowNanos) >= ENDPOINT_STALL_FRACTION * timeoutNanos;
        if (stalled && exchange.tryReserveFailover()) {
            failOver(TimeUnit.NANOSECONDS.toMillis(sinceProgressNanos));
            return;
        }
        final long untilDueMs = TimeUnit.NANOSECONDS.toMillis(timeoutNanos - sinceProgressNanos);
        scheduleStallCheck(Math.max(MIN_CHECK_INTERVAL_MS, untilDueMs));
    }

    private void failOver(long sinceProgressMs) {
        endpoint.recordFailure(services.nowNanos());
        services.endpointLinks().recordFailure(endpoint);
        final String cause = "no bytes received for " + sinceProgressMs + " ms";
        if (call.isSent()) {
            exchange.failOver(this, RetryReason.STREAM_STALLED, cause);
        } else {
            cancel();
            exchange.onNotRun(this, RetryReason.CONNECT_FAILED, cause);
        }
    }
}
