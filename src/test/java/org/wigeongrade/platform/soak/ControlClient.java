package org.wigeongrade.platform.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Calls control VMs as endpoints and operators do: a random one, then the leader if redirected. Thread safe. */
final class ControlClient {
    private static final int READ_TIMEOUT_MS = 1_000;
    /** As long as the interval of heartbeats, so that an unreachable control VM does not make a VM seem silent. */
    private static final int HEARTBEAT_TIMEOUT_MS = (int) FakeEndpointVm.HEARTBEAT_MS;

    private static final int FIRST_SERVER_ERROR = 500;
    private static final int REDIRECT = 307;

    private final List<InetSocketAddress> controls;

    ControlClient(List<InetSocketAddress> controls) {
        this.controls = List.copyOf(controls);
    }

    /** Calls a random control VM and follows one redirect; empty after a failure, a second redirect or a 5xx status. */
    Optional<HttpConnection.Response> call(String method, String path, String body) {
        final InetSocketAddress first = controls.get(ThreadLocalRandom.current().nextInt(controls.size()));
        return callFrom(first, method, path, body, READ_TIMEOUT_MS);
    }

    /** Sends a heartbeat to the control VMs in random order, until one takes it. */
    void sendHeartbeat(String path, String body) {
        final List<InetSocketAddress> order = new ArrayList<>(controls);
        Collections.shuffle(order, ThreadLocalRandom.current());
        final boolean unused = order.stream()
                .anyMatch(first -> callFrom(first, "POST", path, body, HEARTBEAT_TIMEOUT_MS)
                        .isPresent());
    }

    private Optional<HttpConnection.Response> callFrom(
            InetSocketAddress first, String method, String path, String body, int timeoutMs) {
        final Optional<HttpConnection.Response> firstResponse = callAt(first, method, path, body, timeoutMs);
        final boolean redirected =
                firstResponse.filter(response -> response.status() == REDIRECT).isPresent();
        final Optional<HttpConnection.Response> lastResponse =
                redirected ? callAt(target(firstResponse.orElseThrow()), method, path, body, timeoutMs) : firstResponse;
        return lastResponse.filter(response -> response.status() < FIRST_SERVER_ERROR && response.status() != REDIRECT);
    }

    private static InetSocketAddress target(HttpConnection.Response redirect) {
        final String location = redirect.headers().get("location").replaceFirst("http://", "");
        final String authority = location.substring(0, location.indexOf('/'));
        final int colon = authority.indexOf(':');
        return SoakAddresses.address(authority.substring(0, colon), Integer.parseInt(authority.substring(colon + 1)));
    }

    private static Optional<HttpConnection.Response> callAt(
            InetSocketAddress control, String method, String path, String body, int timeoutMs) {
        try (HttpConnection connection = new HttpConnection(control, timeoutMs)) {
            final Map<String, String> headers = Map.of("Host", "control", "Content-Type", "application/json");
            return Optional.of(connection.call(method, path, headers, body));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
