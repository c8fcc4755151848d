package org.wigeongrade.fleet.entry;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.metrics.RetryReason;

/**
 * One attempt of an exchange through another entry node, which chooses the endpoint. Used on the event loop only.
 *
 * <p>Invariants: reports its outcome to the exchange exactly once, unless it was cancelled; the response of an endpoint
 * is passed on as the other node sent it.
 */
final class RelayAttempt implements Attempt, EndpointListener {
    /**
     * Time without a byte after which the other node is taken for stopped, in milliseconds. It fails over from stalled
     * endpoints itself, within less time.
     */
    private static final long SILENCE_TIMEOUT_MS = 1_800;

    private final Exchange exchange;
    private final EntryServices services;
    private final String address;
    private final ServerSentEventSplitter eventSplitter = new ServerSentEventSplitter();
    private final BufferedBody body;
    private final StreamPart streamPart = new StreamPart();
    private Optional<ResponseHead> head = Optional.empty();
    private Optional<ScheduledFuture<?>> silenceCheck = Optional.empty();
    private long lastBytesNanos;
    private boolean reading = true;
    private EndpointCall call;

    RelayAttempt(Exchange exchange, String address) {
        this.exchange = exchange;
        this.services = exchange.services();
        this.address = address;
        this.lastBytesNanos = services.nowNanos();
        this.body = services.bufferedBodies().open(new BufferedBody.Source() {
            @Override
            public void setReading(boolean enabled) {
                call.setReading(enabled);
            }

            @Override
            public void giveUp(String cause) {
                fail(cause, RetryReason.ANSWER_MISMATCHED);
            }
        });
    }

    void start(FullHttpRequest message, boolean retryable) {
        call = new EndpointCall(exchange.request().attemptId(), message, this);
        services.relayPeers().recordSent(address);
        if (retryable) {
            scheduleSilenceCheck(SILENCE_TIMEOUT_MS);
        }
        services.connectionPool().sendToEntryNode(address, call);
    }

    @Override
    public void cancel() {
        stopTracking();
        body.release();
        call.cancel();
    }

    @Override
    public void suspendSilenceCheck() {
        silenceCheck.ifPresent(timer -> timer.cancel(false));
    }

    @Override
    public void resumeSilenceCheck() {
        lastBytesNanos = services.nowNanos();
        scheduleSilenceCheck(SILENCE_TIMEOUT_MS);
    }

    @Override
    public void setReading(boolean enabled) {
        reading = enabled;
        call.setReading(enabled);
    }

    @Override
    public Optional<VmIncarnation> endpointVm() {
        return Optional.empty();
    }

    @Override
    public String target() {
        return "entry node " + address;
    }

    @Override
    public String describe() {
        return call.describe() + " to " + target() + ", no bytes for "
                + TimeUnit.NANOSECONDS.toMillis(services.nowNanos() - lastBytesNanos) + " ms";
    }

    @Override
    public boolean isSent() {
        return call.isSent();
    }

    @Override
    public void onHead(ResponseHead received) {
        lastBytesNanos = services.nowNanos();
        head = Optional.of(received);
        final Optional<VmIncarnation> endpoint = RelayHeaders.takeEndpoint(received.headers());
        if (received.leaving()) {
            endpoint.ifPresent(vm -> services.registry().recordLeaving(vm, services.nowNanos()));
        }
        if (isStream()) {
            exchange.stream()
                    .startPart(streamPart, received)
                    .ifPresent(fault -> fail(fault, RetryReason.ANSWER_MISMATCHED));
        }
    }

    @Override
    public void onBody(byte[] bytes) {
        lastBytesNanos = services.nowNanos();
        if (!isStream()) {
            body.append(bytes);
            return;
        }
        for (final ServerSentEventSplitter.Event event : eventSplitter.accept(bytes)) {
            final Optional<String> fault = exchange.acceptEvent(this, streamPart, head.orElseThrow(), event);
            if (fault.isPresent()) {
                fail(fault.get(), RetryReason.ANSWER_MISMATCHED);
                return;
            }
        }
        if (eventSplitter.partialBytes() > EndpointAttempt.MAX_EVENT_BYTES) {
            fail("an event of the stream is too long", RetryReason.ANSWER_MISMATCHED);
        }
    }

    @Override
    public void onComplete() {
        stopTracking();
        final ResponseHead finishedHead = head.orElseThrow();
        if (RelayHeaders.isNotTaken(finishedHead.headers())) {
            body.release();
            services.relayPeers().recordFailure(address, services.nowNanos());
            exchange.onNotRun(
                    this, RetryReason.RELAY_REFUSED, "the node answered that it cannot take relayed requests");
        } else if (isStream()) {
            finishStream(finishedHead);
        } else if (!finishedHead.signed() && recordUsed(finishedHead) > 0) {
            body.release();
            exchange.allowPeerAgain(address);
            exchange.onMayHaveRun(
                    this, RetryReason.ENDPOINT_FAILED, "the node answered with status " + finishedHead.status());
        } else if (!finishedHead.signed() && exchange.mayHaveRunBeside(this)) {
            // The other node does not know of the attempts made here, so that its refusal would not be true.
            body.release();
            exchange.onRelayFailed(this, "the node answered with status " + finishedHead.status());
        } else {
            body.markComplete();
            respond(finishedHead, new BufferedResponse(finishedHead.status(), finishedHead.headers(), body));
        }
    }

    /** Returns the runs that the other node states to have caused, 0 if it states none. */
    private int recordUsed(ResponseHead finishedHead) {
        final OptionalInt used = RelayHeaders.takeUsed(finishedHead.headers());
        used.ifPresent(runs -> exchange.recordUsed(this, runs));
        return used.orElse(0);
    }

    /** An error response of an endpoint is retried here, as the other node keeps to what it was granted. */
    private void respond(ResponseHead finishedHead, BufferedResponse response) {
        if (finishedHead.signed() && finishedHead.isServerError()) {
            exchange.allowPeerAgain(address);
            exchange.onErrorResponse(this, response);
        } else {
            exchange.onResponse(this, response);
        }
    }

    private void finishStream(ResponseHead finishedHead) {
        if (eventSplitter.hasPartialEvent()) {
            exchange.allowPeerAgain(address);
            exchange.onMayHaveRun(this, RetryReason.STREAM_CUT_SHORT, "the stream ended within an event");
            return;
        }
        exchange.stream().begin(finishedHead, exchange.responseWriter());
        exchange.onStreamEnd(this);
    }

    @Override
    public void onNotSent(String cause, boolean connectionRefused) {
        stopTracking();
        services.relayPeers().recordFailure(address, services.nowNanos());
        exchange.onNotRun(this, RetryReason.CONNECT_FAILED, cause);
    }

    @Override
    public void onFailedAfterSend(String cause) {
        services.relayPeers().recordFailure(address, services.nowNanos());
        onFailedHere(cause);
    }

    @Override
    public void onFailedHere(String cause) {
        stopTracking();
        body.release();
        exchange.allowPeerAgain(address);
        exchange.onMayHaveRun(
                this,
                exchange.stream().hasBegun() ? RetryReason.STREAM_CUT_SHORT : RetryReason.ANSWER_CUT_SHORT,
                cause);
    }

    private void fail(String cause, RetryReason reason) {
        cancel();
        exchange.onMayHaveRun(this, reason, cause);
    }

    private boolean isStream() {
        return exchange.route().kind().streams()
                && head.filter(ResponseHead::isSuccess).isPresent();
    }

    private void scheduleSilenceCheck(long delayMs) {
        silenceCheck = Optional.of(
                services.loop().eventLoop().schedule(this::checkForSilence, delayMs, TimeUnit.MILLISECONDS));
    }

    private void checkForSilence() {
        if (!reading || body.isPaused()) {
            lastBytesNanos = services.nowNanos();
        }
        final long silentMs = TimeUnit.NANOSECONDS.toMillis(services.nowNanos() - lastBytesNanos);
        if (silentMs < SILENCE_TIMEOUT_MS) {
            scheduleSilenceCheck(SILENCE_TIMEOUT_MS - silentMs);
            return;
        }
        services.relayPeers().recordFailure(address, services.nowNanos());
        if (exchange.tryReserveFailover()) {
            exchange.failOver(this, RetryReason.STREAM_STALLED, "no bytes received for " + silentMs + " ms");
        } else {
            scheduleSilenceCheck(SILENCE_TIMEOUT_MS);
        }
    }

    private void stopTracking() {
        silenceCheck.ifPresent(timer -> timer.cancel(false));
        services.relayPeers().recordEnded(address);
    }
}
