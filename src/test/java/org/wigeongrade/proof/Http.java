package org.wigeongrade.proof;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** Plain HTTP calls of the process tests. Safe for use from any thread. */
final class Http {
    /** Client of all calls. */
    static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();

    private Http() {}

    /** Sends a call; throws {@link IOException} if no whole answer came in time. */
    static HttpResponse<String> send(
            String method, String address, String path, String body, Map<String, String> headers, long timeoutMs)
            throws IOException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        try {
            return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /** Returns the status and text of a call; empty if no whole answer came. */
    static Optional<HttpResponse<String>> trySend(String method, String address, String path, String body) {
        try {
            return Optional.of(send(method, address, path, body, Map.of(), 3_000));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns whether {@code GET /health} answers 200. */
    static boolean isHealthy(String address) {
        return trySend("GET", address, "/health", "")
                .map(answer -> answer.statusCode() == 200)
                .orElse(false);
    }
}
