package org.wigeongrade.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.net.InetAddresses;
import com.google.common.primitives.Ints;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.fleet.net.OneShotHttpClient;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.settings.NodeAddress;

/** Sends one call to one entry VM and classifies the outcome. Safe for use from any thread. */
final class EntryTransport {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    /** Longest response that is read, in bytes; those of entry VMs are limited by their messages to each other. */
    private static final int MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Sends the call; {@code timeout} limits the wait for the complete response. */
    CallOutcome send(NodeAddress entry, OperatorCall call, Duration timeout) {
        try (SharedEventLoop loop = new SharedEventLoop()) {
            final OneShotHttpClient.Response response = new OneShotHttpClient(
                            loop, MAX_RESPONSE_BYTES, CONNECT_TIMEOUT_MS, fault -> {})
                    .send(
                            new InetSocketAddress(InetAddresses.forString(entry.ip()), entry.port()),
                            encode(entry, call),
                            Ints.saturatedCast(timeout.toMillis()))
                    .get();
            return classify(response.status(), new String(response.body().array(), StandardCharsets.UTF_8));
        } catch (ExecutionException e) {
            return e.getCause() instanceof ConnectException
                    ? new CallOutcome.Unreachable("no connection to " + entry)
                    : new CallOutcome.Unknown("the response from " + entry + " was lost: "
                            + e.getCause().getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new CallOutcome.Unknown("interrupted while waiting for " + entry);
        }
    }

    private static FullHttpRequest encode(NodeAddress entry, OperatorCall call) {
        final byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
        final FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.pathAndQuery(),
                Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, entry.toString())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return request;
    }

    private static CallOutcome classify(int status, String text) {
        final JsonNode body;
        try {
            body = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            return new CallOutcome.Unknown("the response with HTTP status " + status + " is not JSON");
        }
        if (status == 200) {
            return new CallOutcome.Succeeded(body);
        }
        final OperatorError error = OperatorError.of(status, body);
        final boolean mayHaveRun = error.kind()
                .map(ErrorKind::runStatus)
                .filter(RunStatus.UNKNOWN::equals)
                .isPresent();
        if (mayHaveRun) {
            return new CallOutcome.Unknown(error.code() + ": " + error.message());
        }
        return status == 503
                ? new CallOutcome.NotRun(error.code() + ": " + error.message(), error.retryAfterMs())
                : new CallOutcome.Refused(error);
    }
}
