package org.wigeongrade.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.thrift.TException;
import org.wigeongrade.fleet.FleetClient;
import org.wigeongrade.fleet.FleetTimings;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.fleet.thrift.PullRequest;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.LoopbackPorts;
import org.wigeongrade.proof.ManagedProcess;
import org.wigeongrade.proof.ProcessLimits;

/**
 * Control nodes and at most one entry node as separate processes on loopback addresses, called as endpoint VMs, operators
 * and entry nodes do.
 *
 * <p>Invariant: {@link #close} ends every process that was started here, by its id. Not thread safe.
 */
final class FleetProcesses implements AutoCloseable {
    static final int HEARTBEAT_MS = 1_200;
    private static final String MAIN = "org.wigeongrade.command.Main";
    private static final int START_TIMEOUT_MS = 30_000;
    /** Time for the response to a heartbeat or deregistration; later ones do not count as acknowledgements. */
    private static final int ACKNOWLEDGE_TIMEOUT_MS = 1_000;

    static final int GRACE_S = 5;
    private static final int PORTS = 6;
    private static final int METRICS_PORT_OFFSET = 2;
    private static final int CONTROL_PORT_OFFSET = 3;
    private static final int CALLER_PORT_OFFSET = 4;
    private static final int READINESS_PORT_OFFSET = 5;
    private static final String ENTRY_IP = "127.81.2.1";
    private static final int OK = 200;
    private static final long UNKNOWN_TERM = -1;

    private final Path folder;
    private final int firstPort = LoopbackPorts.allocateRange(PORTS);
    private final int count;
    private final int lossesBorne;
    private final ProcessLimits limits;
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<ManagedProcess> processes = new ArrayList<>();

    FleetProcesses(Path folder, int count, int lossesBorne) {
        this(folder, count, lossesBorne, ProcessLimits.DEFAULT);
    }

    FleetProcesses(Path folder, int count, int lossesBorne, ProcessLimits limits) {
        this.limits = limits;
        this.folder = folder;
        this.count = count;
        this.lossesBorne = lossesBorne;
        for (int control = 0; control < count; control++) {
            writeSettings(control, true);
            processes.add(ManagedProcess.startJava(
                    "control-" + control,
                    folder,
                    limits,
                    MAIN,
                    List.of("fleet-node", "--settings", settingsFile(control).toString())));
        }
    }

    /** Starts an entry node; it must be ready before requests are sent to {@link #entryAddress}. */
    ManagedProcess startEntry() {
        return startEntry("");
    }

    /** Starts an entry node as above, with further lines of its settings. */
    ManagedProcess startEntry(String furtherSettings) {
        final Path file = folder.resolve("entry.toml");
        writeFile(
                file,
                """
                name = "entry"
                role = "entry"
                ip = "%s"
                caller_listen = "%s:%d"
                readiness_listen = "%s:%d"
                grace_s = %d
                """.formatted(
                                        ENTRY_IP,
                                        ENTRY_IP,
                                        firstPort + CALLER_PORT_OFFSET,
                                        ENTRY_IP,
                                        firstPort + READINESS_PORT_OFFSET,
                                        GRACE_S)
                        + commonSettings(true)
                        + furtherSettings);
        final ManagedProcess entry = ManagedProcess.startJava(
                "entry", folder, limits, MAIN, List.of("fleet-node", "--settings", file.toString()));
        processes.add(entry);
        return entry;
    }

    /** Returns where the entry node takes requests. */
    InetSocketAddress entryAddress() {
        return new InetSocketAddress(ENTRY_IP, firstPort + CALLER_PORT_OFFSET);
    }

    /** Returns where the entry node answers readiness checks. */
    InetSocketAddress readinessAddress() {
        return new InetSocketAddress(ENTRY_IP, firstPort + READINESS_PORT_OFFSET);
    }

    /** Returns where the entry node serves its metrics. */
    InetSocketAddress metricsAddress() {
        return new InetSocketAddress(ENTRY_IP, firstPort + METRICS_PORT_OFFSET);
    }

    /** Returns where a control node takes calls of endpoint VMs and operators. */
    InetSocketAddress controlAddress(int control) {
        return new InetSocketAddress(ip(control), firstPort + CONTROL_PORT_OFFSET);
    }

    ManagedProcess process(int control) {
        return processes.get(control);
    }

    List<ManagedProcess> processes() {
        return List.copyOf(processes);
    }

    /** Starts a node again that has ended, with the files that it left. */
    void restart(int control) {
        writeSettings(control, false);
        processes.get(control).restart();
    }

    /** Publishes a configuration and waits until it is acknowledged. */
    void publish(String document) {
        Await.until("the configuration is acknowledged", START_TIMEOUT_MS, () -> tryPublish(document));
    }

    /** Sends a configuration to each node in turn; returns whether one acknowledged it. */
    boolean tryPublish(String document) {
        return firstAcknowledging("/-/configuration/replace", document).isPresent();
    }

    /** Returns the node that leads, after waiting for one. */
    int awaitLeader() {
        Await.until("a control VM leads", START_TIMEOUT_MS, () -> leader().isPresent());
        return leader().orElseThrow();
    }

    private OptionalInt leader() {
        return IntStream.range(0, count)
                .filter(control -> statusOf(control, "GET", "/-/configuration/read", "") == OK)
                .findFirst();
    }

    /** Calls each node in turn until one responds with 200 in time; returns that node. */
    OptionalInt firstAcknowledging(String path, String body) {
        return IntStream.range(0, count)
                .filter(control -> statusOf(control, "POST", path, body) == OK)
                .findFirst();
    }

    /** Returns the version that some node reads back; empty if none does. */
    Optional<Long> readVersion() {
        return IntStream.range(0, count)
                .mapToObj(control -> response(control, "GET", "/-/configuration/read", ""))
                .flatMap(Optional::stream)
                .filter(response -> response.statusCode() == OK)
                .map(response -> WireJson.parse(response.body()).integer("version"))
                .findFirst();
    }

    /** Returns the size of a node's log file. */
    long logBytes(int control) {
        try {
            return Files.size(folder.resolve("data-" + control).resolve("log"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the status of the response, or 0 if there was none in time. Redirects are not followed. */
    int statusOf(int control, String method, String path, String body) {
        return response(control, method, path, body)
                .map(HttpResponse::statusCode)
                .orElse(0);
    }

    private Optional<HttpResponse<byte[]>> response(int control, String method, String path, String body) {
        final HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + ip(control) + ":" + (firstPort + CONTROL_PORT_OFFSET) + path))
                .timeout(Duration.ofMillis(ACKNOWLEDGE_TIMEOUT_MS))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            return Optional.of(client.send(request, HttpResponse.BodyHandlers.ofByteArray()));
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Returns what a new entry node would learn from the node; empty if it does not lead. */
    Optional<PullReply> pull(int control) {
        final PullRequest request = new PullRequest()
                .setNode("probe")
                .setAvailabilityZone("zone-a")
                .setTerm(UNKNOWN_TERM)
                .setUsage(List.of())
                .setCrashes(List.of());
        try (FleetClient node =
                new FleetClient(new InetSocketAddress(ip(control), firstPort + 1), FleetTimings.PULL_TIMEOUT_MS)) {
            return Optional.of(node.call(thrift -> thrift.pull(request))).filter(PullReply::isLeads);
        } catch (TException e) {
            return Optional.empty();
        }
    }

    private static String ip(int control) {
        return "127.81.1." + (control + 1);
    }

    private Path settingsFile(int control) {
        return folder.resolve("control-" + control + ".toml");
    }

    private void writeSettings(int control, boolean bootstrap) {
        final String controlPort = ":" + (firstPort + CONTROL_PORT_OFFSET) + "\"";
        writeFile(
                settingsFile(control),
                """
                name = "control-%d"
                role = "control"
                ip = "%s"
                control_listen = "%s
                data_folder = "%s"
                losses_borne = %d
                """.formatted(
                                        control,
                                        ip(control),
                                        ip(control) + controlPort,
                                        folder.resolve("data-" + control),
                                        lossesBorne)
                        + commonSettings(bootstrap));
    }

    private String commonSettings(boolean bootstrap) {
        final String seeds = IntStream.range(0, Math.min(3, count))
                .mapToObj(seed -> "\"" + ip(seed) + ":" + (firstPort + CONTROL_PORT_OFFSET) + "\"")
                .collect(Collectors.joining(", "));
        return """
                availability_zone = "zone-a"
                first_internal_port = %d
                seeds = [%s]
                bootstrap = %s
                heartbeat_ms = %d
                """.formatted(firstPort, seeds, bootstrap, HEARTBEAT_MS);
    }

    private static void writeFile(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        processes.forEach(ManagedProcess::close);
    }
}
