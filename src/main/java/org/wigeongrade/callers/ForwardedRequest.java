package org.wigeongrade.callers;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeongrade.endpoints.EndpointRequest;
import org.wigeongrade.endpoints.ResponseHead;
import org.wigeongrade.endpoints.ResponseListener;
import org.wigeongrade.endpoints.SendFailure;
import org.wigeongrade.endpoints.SendHandle;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.AttemptId;
import org.wigeongrade.ids.RequestId;
import ratpack.http.Request;

/**
 * Forwards one request to another entry VM and passes its response back to the caller, unchanged except for hop-by-hop
 * headers.
 *
 * <p>Invariants: a request is forwarded at most once, and {@link #HEADER} tells the other VM not to forward it again;
 * the caller gets exactly one result. Thread safe: every field is guarded by this object's lock.
 */
final class ForwardedRequest implements ResponseListener {
    /** Header that marks a forwarded request; its value is the name of the VM that forwarded it. */
    static final String HEADER = "X-Wigeongrade-Passed-On";

    private final CallerDependencies dependencies;
    private final RequestId requestId;
    private final DecisionRecorder decisions;
    private final Consumer<CallerResult> result;
    private final Runnable onEnd;
    private boolean ended;
    private Optional<SendHandle> sendHandle = Optional.empty();
    private Optional<ResponseBodyStream> body = Optional.empty();

    ForwardedRequest(
            CallerDependencies dependencies,
            RequestId requestId,
            DecisionRecorder decisions,
            Consumer<CallerResult> result,
            Runnable onEnd) {
        this.dependencies = dependencies;
        this.requestId = requestId;
        this.decisions = decisions;
        this.result = result;
        this.onEnd = onEnd;
    }

    synchronized void start(String address, String reason, Request request, byte[] requestBody) {
        decisions.add("", "passed on", "to entry VM " + address + ": " + reason);
        final long timeoutMs = dependencies.limits().requestTimeoutMs();
        final ImmutableMap<String, String> headers = ImmutableMap.<String, String>builder()
                .putAll(HeaderFilter.toEntryVm(request.getHeaders()))
                .put(HEADER, dependencies.entry().self().value())
                .buildKeepingLast();
        sendHandle = Optional.of(dependencies
                .client()
                .sendToEntryVm(
                        new EndpointRequest(
                                new AttemptId(requestId.value()),
                                address,
                                request.getMethod().getName(),
                                request.getRawUri(),
                                headers,
                                requestBody,
                                0,
                                dependencies.entry().nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMs),
                                Duration.ofMillis(dependencies.limits().connectTimeoutMs()),
                                Duration.ofMillis(timeoutMs)),
                        this));
    }

    /** Cancels the forwarded request because the caller disconnected. */
    void onCallerDisconnect() {
        final Optional<SendHandle> handle;
        synchronized (this) {
            if (ended) {
                return;
            }
            handle = sendHandle;
            end();
        }
        handle.ifPresent(SendHandle::cancel);
    }

    @Override
    public synchronized void onHead(ResponseHead head) {
        if (ended) {
            return;
        }
        final ResponseBodyStream stream =
                new ResponseBodyStream(() -> dependencies.scheduler().schedule(this::onCallerDisconnect, 0));
        body = Optional.of(stream);
        result.accept(new CallerResult.Streamed(head.status(), HeaderFilter.fromEntryVm(head.headers()), stream));
    }

    @Override
    public void onBytes(byte[] bytes, Runnable readMore) {
        body.ifPresent(stream -> stream.push(bytes, readMore));
    }

    @Override
    public synchronized void onEnd() {
        if (ended) {
            return;
        }
        body.ifPresent(ResponseBodyStream::complete);
        end();
    }

    @Override
    public synchronized void onFailure(SendFailure failure, String detail) {
        if (ended) {
            return;
        }
        if (body.isPresent()) {
            body.get().fail(new IOException(detail));
        } else {
            final ErrorKind kind =
                    failure == SendFailure.CONNECT_FAILED ? ErrorKind.NO_FREE_SLOT : ErrorKind.OUTCOME_UNKNOWN;
            dependencies.metrics().countRefusal(kind);
            decisions.add("", "refused", kind.code() + ": " + detail);
            result.accept(new CallerResult.Failed(new WigeongradeException(
                    kind, "the entry VM that the request was forwarded to failed: " + detail)));
        }
        end();
    }

    private void end() {
        ended = true;
        onEnd.run();
    }
}
