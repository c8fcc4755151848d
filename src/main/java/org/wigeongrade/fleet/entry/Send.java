package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.balancing.EngineModel;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.RetryReason;

/**
 * One send of an exchange to one endpoint. Used on the event loop only.
 *
 * <p>Invariant: tells its exchange exactly once how it ended, unless it was cancelled.
 */
final class Send implements EndpointListener {
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    /** A check that runs this much late shows that this process stood still, not the endpoint. */
    private static final long OWN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(80);
    /** Part of the patience for which the endpoint must have sent nothing to anybody here. */
    private static final double STANDSTILL_PART = 0.8;
    /** Shortest time between two checks, in milliseconds. */
    private static final long SHORTEST_CHECK_MS = 20;

    private final Exchange exchange;
    private final EntryServices services;
    private final EndpointLoad endpoint;
    private final Optional<EngineModel> engine;
    private final double predictedMs;
    private final long startedNanos;
    private final EventCutter cutter = new EventCutter();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Optional<AnswerHead> head = Optional.empty();
    private Optional<ScheduledFuture<?>> check = Optional.empty();
    private long checkDueNanos;
    private long progressNanos;
    private long eventNanos;
    private int unreadTokens;
    private int events;
    EndpointCall call;

    Send(Exchange exchange, EndpointLoad endpoint, Optional<EngineModel> engine, double predictedMs, long nowNanos) {
        this.exchange = exchange;
        this.services = exchange.services();
        this.endpoint = endpoint;
        this.engine = engine;
        this.predictedMs = predictedMs;
        this.startedNanos = nowNanos;
        this.progressNanos = nowNanos;
    }

    EndpointLoad endpoint() {
        return endpoint;
    }

    void start(FullHttpRequest message, boolean mayRepeat) {
        unreadTokens = exchange.request().promptTokens();
        endpoint.reads(unreadTokens);
        call = new EndpointCall(exchange.request().attemptId(), message, this);
        if (mayRepeat) {
            scheduleCheck(patienceMs());
        }
        services.connections().send(endpoint, call, mayRepeat);
    }

    /** Ends the send without a word to the exchange. */
    void cancel() {
        finish();
        call.cancel();
    }

    @Override
    public void onHead(AnswerHead answered) {
        noteProgress();
        head = Optional.of(answered);
        final boolean unusable = answered.isSuccess() && (!answered.signed() || answered.encoded());
        if (unusable) {
            reject("the answer is not signed by the endpoint or its body was encoded on the way");
        }
    }

    @Override
    public void onBody(byte[] bytes) {
        noteProgress();
        if (!isStream()) {
            body.writeBytes(bytes);
            if (body.size() > MAX_ANSWER_BYTES) {
                reject("the answer exceeds " + MAX_ANSWER_BYTES + " bytes");
            }
            return;
        }
        for (final EventCutter.Event event : cutter.accept(bytes)) {
            noteEvent();
            exchange.log().firstBytes();
            exchange.stream().begin(head.orElseThrow(), exchange.caller());
            exchange.stream().relay(event, exchange.caller());
        }
    }

    @Override
    public void onEnd() {
        finish();
        final AnswerHead answered = head.orElseThrow();
        if (answered.notRun()) {
            endpoint.failed(services.nowNanos());
            answered.faultyVm().ifPresent(vm -> services.fleet().blamed(endpoint, vm));
            exchange.notRun(this, RetryReason.ENDPOINT_REFUSED, "the endpoint answered " + answered.status());
        } else if (isStream()) {
            endStream();
        } else {
            endWhole(answered);
        }
    }

    @Override
    public void onNotSent(String cause, boolean refused) {
        finish();
        if (refused) {
            endpoint.refusedConnection(services.nowNanos());
        } else {
            endpoint.failed(services.nowNanos());
        }
        exchange.notRun(this, RetryReason.CONNECT_FAILED, cause);
    }

    @Override
    public void onBroken(String cause) {
        finish();
        endpoint.failed(services.nowNanos());
        services.fleet().crashed(exchange.digest(), endpoint);
        exchange.mayHaveRun(
                this,
                exchange.stream().hasBegun() ? RetryReason.STREAM_CUT_SHORT : RetryReason.ANSWER_CUT_SHORT,
                cause);
    }

    private void endStream() {
        if (cutter.hasPartialEvent()) {
            endpoint.failed(services.nowNanos());
            exchange.mayHaveRun(this, RetryReason.STREAM_CUT_SHORT, "the stream ended within an event");
            return;
        }
        endpoint.succeeded();
        exchange.log().firstBytes();
        exchange.stream().begin(head.orElseThrow(), exchange.caller());
        exchange.streamed(this);
    }

    private void endWhole(AnswerHead answered) {
        final WholeAnswer answer = new WholeAnswer(answered.status(), answered.headers(), body.toByteArray());
        if (answered.isServerError()) {
            endpoint.failed(services.nowNanos());
            exchange.answeredWithFailure(this, answer);
            return;
        }
        endpoint.succeeded();
        endpoint.observed(elapsedMs(), predictedMs);
        exchange.answered(this, answer);
    }

    private void reject(String cause) {
        services.events()
                .write(
                        LogEvent.ANSWER_REJECTED,
                        endpoint.vm(),
                        exchange.request().name(),
                        cause);
        cancel();
        endpoint.failed(services.nowNanos());
        exchange.mayHaveRun(this, RetryReason.ANSWER_MISMATCHED, cause);
    }

    private boolean isStream() {
        return exchange.route().kind().streams()
                && head.filter(AnswerHead::isSuccess).isPresent();
    }

    private void noteProgress() {
        progressNanos = services.nowNanos();
        endpoint.progressed(progressNanos);
    }

    private void noteEvent() {
        final long nowNanos = services.nowNanos();
        if (events == 0) {
            noteRead();
            endpoint.beganWriting();
            engine.ifPresent(model -> model.observedFirst(elapsedMs(), predictedMs));
        } else {
            engine.ifPresent(
                    model -> endpoint.observed((nowNanos - eventNanos) / 1e6, model.passMs(endpoint.running())));
        }
        eventNanos = nowNanos;
        events++;
    }

    private double elapsedMs() {
        return (services.nowNanos() - startedNanos) / 1e6;
    }

    private void noteRead() {
        endpoint.hasRead(unreadTokens);
        unreadTokens = 0;
    }

    private void finish() {
        noteRead();
        if (events > 0) {
            endpoint.endedWriting();
        }
        check.ifPresent(timer -> timer.cancel(false));
        endpoint.ended(services.nowNanos());
    }

    private long patienceMs() {
        return events == 0 ? Patience.firstMs(predictedMs) : Patience.pauseMs(exchange.route());
    }

    private void scheduleCheck(long delayMs) {
        checkDueNanos = services.nowNanos() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        check = Optional.of(services.loop().loop().schedule(this::checkProgress, delayMs, TimeUnit.MILLISECONDS));
    }

    private void checkProgress() {
        final long nowNanos = services.nowNanos();
        if (nowNanos - checkDueNanos > OWN_PAUSE_NANOS) {
            progressNanos = nowNanos;
        }
        final long patienceNanos = TimeUnit.MILLISECONDS.toNanos(patienceMs());
        final long silentNanos = nowNanos - progressNanos;
        final boolean standsStill =
                silentNanos >= patienceNanos && endpoint.stalledNanos(nowNanos) >= STANDSTILL_PART * patienceNanos;
        if (standsStill && exchange.tryMove()) {
            move(TimeUnit.NANOSECONDS.toMillis(silentNanos));
            return;
        }
        final long untilDueMs = TimeUnit.NANOSECONDS.toMillis(patienceNanos - silentNanos);
        scheduleCheck(Math.max(SHORTEST_CHECK_MS, untilDueMs));
    }

    private void move(long silentMs) {
        final boolean sent = call.isSent();
        cancel();
        endpoint.failed(services.nowNanos());
        final String cause = "no byte for " + silentMs + " ms";
        if (sent) {
            exchange.movedFrom(this, RetryReason.STREAM_STALLED, cause);
        } else {
            exchange.notRun(this, RetryReason.CONNECT_FAILED, cause);
        }
    }
}
