package org.wigeongrade.platform;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.wigeongrade.fleet.net.HttpListener;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.HttpRequestHandler;
import org.wigeongrade.fleet.net.OneShotHttpClient;
import org.wigeongrade.fleet.net.SharedEventLoop;

/**
 * Messages of an operator, an endpoint and callers to the two nodes of a trial, so that the nodes load the classes that
 * serve such messages. Not safe for use from several threads.
 */
public final class TrialTraffic implements AutoCloseable {
    private static final int OK = 200;
    private static final int TIMEOUT_MS = 1_000;
    private static final int MAX_ATTEMPTS = 40;
    private static final long PAUSE_MS = 100;
    private static final int REQUESTS_OF_EACH_KIND = 3;
    private static final int MAX_BYTES = 16 * 1024;
    private static final String HOST = "trial.example";
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private final SharedEventLoop loop = new SharedEventLoop();
    private final OneShotHttpClient client = new OneShotHttpClient(loop);
    private final InetSocketAddress control;
    private final InetSocketAddress callers;
    private final InetSocketAddress readiness;
    private final InetSocketAddress endpoint;
    private int messages;

    /** @param endpoint free address at which the endpoint of the trial listens */
    public TrialTraffic(
            InetSocketAddress control,
            InetSocketAddress callers,
            InetSocketAddress readiness,
            InetSocketAddress endpoint) {
        this.control = control;
        this.callers = callers;
        this.readiness = readiness;
        this.endpoint = endpoint;
    }

    /** Sends the messages; returns whether the nodes served requests. */
    public boolean run() {
        HttpListener.open(
                loop,
                endpoint,
                MAX_BYTES,
                pipeline -> pipeline.addLast(new HttpObjectAggregator(MAX_BYTES))
                        .addLast(new HttpRequestHandler(
                                call -> CompletableFuture.completedFuture(respondAsEndpoint(call.path())))));
        final boolean published = until(() -> call(control, "POST", "/-/configuration/replace", document()) == OK);
        final boolean served = published
                && until(() -> {
                    sendHeartbeat("ready");
                    return call(callers, "POST", "/plain/a", "body") == OK;
                });
        for (int number = 0; number < REQUESTS_OF_EACH_KIND; number++) {
            call(callers, "GET", "/plain/b", "");
            call(callers, "POST", "/once/c", "body");
            call(callers, "POST", "/events/d", "body");
            call(callers, "GET", "/none/", "");
            call(readiness, "GET", "/-/readyz", "");
            call(control, "GET", "/-/configuration/read", "");
        }
        call(control, "POST", "/-/evacuation/trial-2/begin", "");
        call(control, "POST", "/-/evacuation/trial-2/finish", "");
        sendHeartbeat("draining");
        call(control, "POST", "/-/instances/i-1/deregister", "");
        return served;
    }

    private static boolean until(BooleanSupplier condition) {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Uninterruptibles.sleepUninterruptibly(PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        return false;
    }

    private static HttpReply respondAsEndpoint(String path) {
        final HttpReply reply = HttpReply.text(OK, path.startsWith("/events/") ? EVENTS : "done");
        return reply.withHeader(WireHeaders.ATTEMPT_ID, "trial").withHeader(WireHeaders.SIGNATURE, "trial");
    }

    private void sendHeartbeat(String state) {
        messages++;
        call(control, "POST", "/-/instances/i-1/heartbeat", """
                {"service":"plain","address":"%s:%d","zone":"trial","version":"v1","slots":4,"state":"%s",
                "coldRemainingMs":0,"sequence":%d,"born":1}""".formatted(
                        endpoint.getAddress().getHostAddress(), endpoint.getPort(), state, messages));
    }

    /** Returns the status of the response, or 0 if there was none. */
    private int call(InetSocketAddress address, String method, String path, String body) {
        final FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(method),
                path,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers()
                .set(HttpHeaderNames.HOST, HOST)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length())
                .set(WireHeaders.ATTEMPT_ID, "trial")
                .set(WireHeaders.API_KEY, "trial-key")
                .set(WireHeaders.DEADLINE_MS, TIMEOUT_MS)
                .set(WireHeaders.PROMPT_PARTS, "a1:40,b2:10");
        try {
            return client.send(address, request, TIMEOUT_MS).join().status();
        } catch (CompletionException e) {
            return 0;
        }
    }

    private static String document() {
        return """
                {"version":1,"routes":[%s,%s,%s,
                {"name":"m","hostname":"%s","pathPrefix":"/model/","kind":"streaming","timeoutMs":900,"service":"engine",
                "targetLatencyMs":500,"targetItlMs":200,"maxAttempts":2,"resumable":true}],
                "services":[{"name":"plain","healthPath":"/h","maxConnections":9},{"name":"engine","healthPath":"/h",
                "maxConnections":9,"coldStartS":1.0,"coldRateS":9.0,"engine":{"slots":4,"kvCapacity":1000,"stride":5,
                "models":[{"name":"m","size":2,"share":1.0,"pace":1.0,"loadS":1.0,"warmupS":1.0}],"step_ms":6.0,
                "per_seq_ms":0.1,"context_per_k":0.1,"read_per_s":50000.0,"pairs_per_m":0.3,"chunk":2048,
                "report_lag_ms":200.0,"loadsPerS":9.0,"loads_at_once":9,"usual":{"prompt":900,"answer":100},
                "retains":1,"far_x":4.0,"formationMs":300.0}}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"trial","apiKeys":["trial-key"],"priority":1}]}""".formatted(
                route("plain", "idempotent"), route("once", "non_idempotent"), route("events", "streaming"), HOST);
    }

    private static String route(String name, String kind) {
        return """
                {"name":"%s","hostname":"%s","pathPrefix":"/%s/","kind":"%s","timeoutMs":900,"targetLatencyMs":500,
                "targetItlMs":200,"maxAttempts":2,"service":"plain"}""".formatted(name, HOST, name, kind);
    }

    @Override
    public void close() {
        loop.close();
    }
}
