package org.wigeongrade.callers;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeongrade.endpoints.AnswerHead;
import org.wigeongrade.endpoints.AnswerListener;
import org.wigeongrade.endpoints.EndpointRequest;
import org.wigeongrade.endpoints.SendFailure;
import org.wigeongrade.endpoints.SendHandle;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.AttemptId;
import org.wigeongrade.ids.RequestId;
import ratpack.http.Request;

/**
 * Passes one request on to another entry VM and its answer back as it is.
 *
 * <p>Invariants: a request is passed on once at most, which the header tells the other VM; the caller's result is given
 * once. Thread safe: every field is guarded by this object's lock.
 */
final class PassedOn implements AnswerListener {
    /** Header that marks a passed-on request; it names the VM that passed it on. */
    static final String HEADER = "X-Wigeongrade-Passed-On";

    private final CallerServices services;
    private final RequestId requestId;
    private final DecisionNotes notes;
    private final Consumer<CallerResult> result;
    private final Runnable onEnd;
    private boolean ended;
    private Optional<SendHandle> sending = Optional.empty();
    private Optional<BodyStream> body = Optional.empty();

    PassedOn(
            CallerServices services,
            RequestId requestId,
            DecisionNotes notes,
            Consumer<CallerResult> result,
            Runnable onEnd) {
        this.services = services;
        this.requestId = requestId;
        this.notes = notes;
        this.result = result;
        this.onEnd = onEnd;
    }

    synchronized void start(String address, Request request, byte[] requestBody) {
        notes.add(
                "", "passed on", "the target's endpoints are cold and entry VM " + address + " alone may send to them");
        final long timeoutMs = services.limits().requestTimeoutMs();
        final ImmutableMap<String, String> headers = ImmutableMap.<String, String>builder()
                .putAll(AnswerHeaders.toEntryVm(request.getHeaders()))
                .put(HEADER, services.entry().self().value())
                .buildKeepingLast();
        sending = Optional.of(services.client()
                .send(
                        new EndpointRequest(
                                new AttemptId(requestId.value()),
                                address,
                                request.getMethod().getName(),
                                request.getRawUri(),
                                headers,
                                requestBody,
                                0,
                                services.entry().nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMs),
                                Duration.ofMillis(services.limits().connectTimeoutMs()),
                                Duration.ofMillis(timeoutMs)),
                        this));
    }

    /** Cancels; nobody waits for the answer any more. */
    void callerGone() {
        final Optional<SendHandle> handle;
        synchronized (this) {
            if (ended) {
                return;
            }
            handle = sending;
            end();
        }
        handle.ifPresent(SendHandle::cancel);
    }

    @Override
    public synchronized void onHead(AnswerHead head) {
        if (ended) {
            return;
        }
        final BodyStream stream = new BodyStream(() -> services.delay().run(this::callerGone, 0));
        body = Optional.of(stream);
        result.accept(new CallerResult.Streamed(head.status(), AnswerHeaders.fromEntryVm(head.headers()), stream));
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
        body.ifPresent(BodyStream::complete);
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
            services.metrics().refused(kind);
            notes.add("", "refused", kind.code() + ": " + detail);
            result.accept(new CallerResult.Failed(
                    new WigeongradeException(kind, "the entry VM that it was passed on to failed: " + detail)));
        }
        end();
    }

    private void end() {
        ended = true;
        onEnd.run();
    }
}
