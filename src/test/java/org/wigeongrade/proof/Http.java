package org.wigeongrade.proof;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** HTTP calls of the process tests. Safe for use from any thread. */
final class Http {
    /** HTTP client shared by all calls. */
    static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .build();

    private Http() {}

    /** Sends a request; throws {@link IOException} if no complete response arrives in time. */
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

    /** Sends a request and returns the response; empty if no complete response arrives within 3 seconds. */
    static Optional<HttpResponse<String>> trySend(String method, String address, String path, String body) {
        try {
            return Optional.of(send(method, address, path, body, Map.of(), 3_000));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns whether {@code GET /health} returns status 200. */
    static boolean isHealthy(String address) {
        return trySend("GET", address, "/health", "")
                .map(response -> response.statusCode() == 200)
                .orElse(false);
    }
}
