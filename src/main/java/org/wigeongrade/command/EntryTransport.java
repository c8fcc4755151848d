package org.wigeongrade.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.settings.NodeAddress;

/** Sends one call to one entry VM and classifies the outcome. Safe for use from any thread. */
final class EntryTransport {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** Longest response that is read, in bytes; those of entry VMs are limited by their messages to each other. */
    private static final int MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    /** Sends the call; {@code timeout} limits the wait for the response. */
    CallOutcome send(NodeAddress entry, OperatorCall call, Duration timeout) {
        final HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + call.pathAndQuery()))
                .timeout(timeout)
                .method(call.method(), HttpRequest.BodyPublishers.ofString(call.body()))
                .build();
        try {
            final HttpResponse<InputStream> response = client.send(request, HttpResponse.BodyHandlers.ofInputStream());
            return classify(response.statusCode(), readBody(response));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new CallOutcome.Unreachable("no connection to " + entry);
        } catch (IOException e) {
            return new CallOutcome.Unknown("the response from " + entry + " was lost: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new CallOutcome.Unknown("interrupted while waiting for " + entry);
        }
    }

    private static String readBody(HttpResponse<InputStream> response) throws IOException {
        try (InputStream body = response.body()) {
            final byte[] bytes = body.readNBytes(MAX_RESPONSE_BYTES + 1);
            if (bytes.length > MAX_RESPONSE_BYTES) {
                throw new IOException("it exceeds " + MAX_RESPONSE_BYTES + " bytes");
            }
            return new String(bytes, StandardCharsets.UTF_8);
        }
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
