package org.wigeongrade.endpoints;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.net.HostAndPort;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.timeout.ReadTimeoutException;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.ExecController;
import ratpack.http.Headers;
import ratpack.http.client.HttpClient;
import ratpack.http.client.HttpClientReadTimeoutException;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * Sends requests to endpoints, each on a new connection, and streams the responses to a listener.
 *
 * <p>Invariant: a connection carries one request, so bytes of one response never reach another request. Thread safe;
 * listener calls come from the event loops of the {@link ExecController}.
 */
public final class EndpointClient {
    private static final int NO_POOLED_CONNECTIONS = 0;
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int FIRST_FINAL_STATUS = 200;
    /** Netty reports a head that it cannot decode as a response with a status beyond those of HTTP. */
    private static final int LAST_STATUS = 599;

    private final ExecController execController;
    private final HttpClient httpClient;
    private final Optional<String> gatewayIp;
    private final LongSupplier nanoClock;

    /** @param gatewayIp address through which every endpoint is reached, at its own port; absent if there is none */
    public EndpointClient(
            ExecController execController, int maxResponseBytes, Optional<String> gatewayIp, LongSupplier nanoClock)
            throws Exception {
        this.execController = execController;
        this.gatewayIp = gatewayIp;
        this.nanoClock = nanoClock;
        this.httpClient = HttpClient.of(spec -> spec.poolSize(NO_POOLED_CONNECTIONS)
                .maxContentLength(maxResponseBytes)
                .responseMaxChunkSize(CHUNK_BYTES)
                .execController(execController));
    }

    /** Sends a request asynchronously. The listener gets every later event, including connection failures. */
    public SendHandle send(EndpointRequest request, ResponseListener listener) {
        return send(reachableAddress(request.address()), request, listener);
    }

    /** Sends a request to another entry VM, as above. */
    public SendHandle sendToEntryVm(EndpointRequest request, ResponseListener listener) {
        return send(request.address(), request, listener);
    }

    /** Returns the address, as {@code ip:port}, at which this VM reaches an endpoint. */
    public String reachableAddress(String endpointAddress) {
        return gatewayIp
                .map(ip -> HostAndPort.fromParts(
                                ip, HostAndPort.fromString(endpointAddress).getPort())
                        .toString())
                .orElse(endpointAddress);
    }

    private SendHandle send(String address, EndpointRequest request, ResponseListener listener) {
        final SendHandle handle = new SendHandle();
        execController
                .fork()
                .onError(failure -> listener.onFailure(classify(failure), describe(failure)))
                .start(execution -> httpClient
                        .requestStream(URI.create("http://" + address + request.pathAndQuery()), spec -> {
                            configure(spec, request);
                        })
                        .onError(failure -> {
                            if (!handle.isCancelled()) {
                                listener.onFailure(classify(failure), describe(failure));
                            }
                        })
                        .then(response -> streamResponse(response, listener, handle)));
        return handle;
    }

    private void configure(RequestSpec spec, EndpointRequest request) throws Exception {
        final long remainingNanos = Math.max(0, request.deadlineNanos() - nanoClock.getAsLong());
        spec.method(request.method());
        spec.redirects(0);
        spec.decompressResponse(false);
        spec.connectTimeout(request.connectTimeout());
        spec.readTimeout(min(request.stallTimeout(), Duration.ofNanos(Math.max(1, remainingNanos))));
        spec.headers(headers -> {
            request.headers().forEach(headers::set);
            headers.set("X-Request-Id", request.attemptId().value());
            headers.set("X-Request-Deadline-Ms", TimeUnit.NANOSECONDS.toMillis(remainingNanos));
            headers.set("X-Request-Priority", request.priority());
        });
        if (request.body().length > 0) {
            spec.getBody().bytes(request.body());
        }
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }

    private static void streamResponse(StreamedResponse response, ResponseListener listener, SendHandle handle) {
        final int status = response.getStatusCode();
        if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) {
            final boolean awaited = !handle.isCancelled();
            handle.cancel();
            response.getBody().subscribe(new BodySubscriber(listener, handle));
            if (awaited) {
                listener.onFailure(
                        SendFailure.CONNECTION_LOST,
                        "the head is not that of a final response, or is too long: status " + status);
            }
            return;
        }
        if (!handle.isCancelled()) {
            listener.onHead(new ResponseHead(status, withLowerCaseNames(response.getHeaders())));
        }
        response.getBody().subscribe(new BodySubscriber(listener, handle));
    }

    private static ImmutableListMultimap<String, String> withLowerCaseNames(Headers headers) {
        final ImmutableListMultimap.Builder<String, String> copy = ImmutableListMultimap.builder();
        for (Map.Entry<String, String> header : headers.getNettyHeaders()) {
            copy.put(Ascii.toLowerCase(header.getKey()), header.getValue());
        }
        return copy.build();
    }

    private static SendFailure classify(Throwable failure) {
        if (failure instanceof ConnectException) {
            return SendFailure.CONNECT_FAILED;
        }
        if (failure instanceof HttpClientReadTimeoutException || failure instanceof ReadTimeoutException) {
            return SendFailure.TIMED_OUT;
        }
        return SendFailure.CONNECTION_LOST;
    }

    private static String describe(Throwable failure) {
        return failure.getClass().getSimpleName() + ": " + failure.getMessage();
    }

    /** Passes the body to the listener chunk by chunk. Called by one event loop. */
    private static final class BodySubscriber implements Subscriber<ByteBuf> {
        private final ResponseListener listener;
        private final SendHandle handle;
        private Subscription subscription;

        BodySubscriber(ResponseListener listener, SendHandle handle) {
            this.listener = listener;
            this.handle = handle;
        }

        @Override
        public void onSubscribe(Subscription newSubscription) {
            subscription = newSubscription;
            handle.setCloseAction(newSubscription::cancel);
            newSubscription.request(1);
        }

        @Override
        public void onNext(ByteBuf buffer) {
            final byte[] bytes = ByteBufUtil.getBytes(buffer);
            buffer.release();
            if (handle.isCancelled()) {
                return;
            }
            listener.onBytes(bytes, () -> subscription.request(1));
        }

        @Override
        public void onError(Throwable failure) {
            if (!handle.isCancelled()) {
                listener.onFailure(classify(failure), describe(failure));
            }
        }

        @Override
        public void onComplete() {
            if (!handle.isCancelled()) {
                listener.onEnd();
            }
        }
    }
}
