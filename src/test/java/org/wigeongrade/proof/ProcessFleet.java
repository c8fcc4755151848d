package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.wigeongrade.standin.Journal;
import org.wigeongrade.standin.JournalEntry;

/**
 * Separate processes on loopback: nodes of this system and stand-ins for external systems.
 *
 * <p>Invariant: {@link #close} ends every process that the fleet started, by its id. Not safe for concurrent use while
 * processes are added.
 */
final class ProcessFleet implements AutoCloseable {
    private static final String NODE_MAIN = "org.wigeongrade.command.Main";
    private static final String STANDIN_MAIN = "org.wigeongrade.standin.StandinMain";
    private static final long START_TIMEOUT_MS = 25_000;

    private final Path folder;
    private final boolean proxied;
    /** Whether each node reaches the stand-ins through proxies of its own. */
    private final boolean endpointsProxied;

    private final Map<String, NodePorts> nodes = new LinkedHashMap<>();
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final Map<String, FaultInjectionProxy> proxies = new HashMap<>();
    private final Map<String, String> standinAddresses = new HashMap<>();
    private final Map<String, Path> journals = new LinkedHashMap<>();
    /** Port of the last VM of each stand-in process, which starts its VMs one after another. */
    private final List<Integer> lastStandinPorts = new ArrayList<>();

    private record NodePorts(boolean control, int listen, int peer, int log) {}

    private ProcessFleet(Path folder, boolean proxied, boolean endpointsProxied) {
        this.folder = folder;
        this.proxied = proxied;
        this.endpointsProxied = endpointsProxied;
    }

    /** Starts {@code controlNodes} control nodes and {@code otherNodes} others, named from {@code entry-1} on. */
    static ProcessFleet start(Path folder, int controlNodes, int otherNodes) {
        return start(folder, controlNodes, otherNodes, false);
    }

    /** Starts nodes; if {@code proxied}, connections between them pass through proxies that can inject faults. */
    static ProcessFleet start(Path folder, int controlNodes, int otherNodes, boolean proxied) {
        return start(new ProcessFleet(folder, proxied, false), controlNodes, otherNodes);
    }

    /** Starts nodes that reach the stand-ins through proxies, which can inject faults for each node alone. */
    static ProcessFleet startWithEndpointProxies(Path folder, int controlNodes) {
        return start(new ProcessFleet(folder, false, true), controlNodes, 0);
    }

    private static ProcessFleet start(ProcessFleet fleet, int controlNodes, int otherNodes) {
        for (int i = 1; i <= controlNodes + otherNodes; i++) {
            int first = LoopbackPorts.allocateRange(3);
            fleet.nodes.put("entry-" + i, new NodePorts(i <= controlNodes, first, first + 1, first + 2));
        }
        try {
            fleet.startNodes();
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
        return fleet;
    }

    private void startNodes() {
        for (String name : nodes.keySet()) {
            Path settings = folder.resolve(name + ".toml");
            write(settings, settings(name));
            processes.put(
                    name,
                    ManagedProcess.startJava(
                            name, folder, NODE_MAIN, List.of("node", "--settings", settings.toString())));
        }
        Await.until(
                "all nodes healthy\n" + recentOutputs(),
                START_TIMEOUT_MS,
                () -> entryAddresses().stream().allMatch(Http::isHealthy));
    }

    private String settings(String name) {
        NodePorts ports = nodes.get(name);
        StringBuilder text = new StringBuilder();
        text.append("name = \"").append(name).append("\"\n");
        text.append("availability_zone = \"").append(zoneOfNode(name)).append("\"\n");
        text.append("listen = \"127.0.0.1:").append(ports.listen()).append("\"\n");
        text.append("peer_listen = \"127.0.0.1:").append(ports.peer()).append("\"\n");
        if (ports.control()) {
            text.append("log_listen = \"127.0.0.1:").append(ports.log()).append("\"\n");
            text.append("data_folder = \"").append(dataFolder(name)).append("\"\n");
        }
        if (endpointsProxied) {
            text.append("endpoint_gateway_ip = \"").append(gatewayIp(name)).append("\"\n");
        }
        nodes.forEach((peer, peerPorts) -> appendPeer(text, name, peer, peerPorts));
        return text.toString();
    }

    private void appendPeer(StringBuilder text, String from, String peer, NodePorts ports) {
        text.append("\n[[peer]]\nname = \"").append(peer).append("\"\n");
        text.append("peer_address = \"")
                .append(address(from, peer, ports.peer()))
                .append("\"\n");
        if (ports.control()) {
            text.append("log_address = \"")
                    .append(address(from, peer, ports.log()))
                    .append("\"\n");
        }
    }

    private String address(String from, String to, int port) {
        if (!proxied || from.equals(to)) {
            return "127.0.0.1:" + port;
        }
        return proxies.computeIfAbsent(from + ">" + to + ":" + port, linkName -> newProxy(port))
                .address();
    }

    private static FaultInjectionProxy newProxy(int port) {
        try {
            return new FaultInjectionProxy(port);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String zoneOfNode(String name) {
        return List.of("zone-a", "zone-b", "zone-c").get((Integer.parseInt(name.substring("entry-".length())) - 1) % 3);
    }

    private static String gatewayIp(String node) {
        return "127.0.2." + node.substring("entry-".length());
    }

    private static String endpointLink(String node, int port) {
        return node + " to endpoint " + port;
    }

    private void startEndpointProxies(int firstPort, int count) {
        for (final String node : nodes.keySet()) {
            for (int port = firstPort; port < firstPort + count; port++) {
                try {
                    proxies.put(
                            endpointLink(node, port),
                            new FaultInjectionProxy(
                                    new InetSocketAddress(InetAddresses.forString(gatewayIp(node)), port),
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }

    /** Sets how connections of a node to every stand-in are treated. */
    void setEndpointLinks(String node, FaultInjectionProxy.Mode mode) {
        proxies.forEach((linkName, proxy) -> {
            if (linkName.startsWith(node + " to endpoint ")) {
                proxy.setMode(mode);
            }
        });
    }

    /** Sets how the proxies treat connections between {@code name} and the other nodes, in both directions. */
    void setProxyMode(String name, FaultInjectionProxy.Mode mode) {
        proxies.forEach((linkName, proxy) -> {
            if (linkName.startsWith(name + ">") || linkName.contains(">" + name + ":")) {
                proxy.setMode(mode);
            }
        });
    }

    /** Black-holes every open connection between nodes permanently; new ones are not affected. */
    void blackholeOpenConnections() {
        proxies.values().forEach(FaultInjectionProxy::blackholeOpenConnections);
    }

    /** Starts engine VMs in one process, which is returned; {@code vms} are their names, separated by commas. */
    ManagedProcess startEngines(String vms, String... arguments) {
        return startStandin("engine", vms, arguments);
    }

    /** Starts VMs of a plain service in one process, which is returned; {@code vms} are their names with commas. */
    ManagedProcess startServices(String vms, String... arguments) {
        return startStandin("service", vms, arguments);
    }

    private ManagedProcess startStandin(String kind, String vms, String... arguments) {
        int count = vms.split(",").length;
        int port = LoopbackPorts.allocateRange(count);
        if (endpointsProxied) {
            startEndpointProxies(port, count);
        }
        Path journal = folder.resolve(vms.replace(',', '_') + ".journal");
        List<String> allArguments = new ArrayList<>(List.of(
                kind,
                "--vms",
                vms,
                "--listen",
                "127.0.0.1:" + port,
                "--entries",
                String.join(",", entryAddresses()),
                "--journal",
                journal.toString()));
        allArguments.addAll(Arrays.asList(arguments));
        ManagedProcess process = ManagedProcess.startJava(vms, folder, STANDIN_MAIN, allArguments);
        processes.put(vms, process);
        journals.put(vms, journal);
        standinAddresses.put(vms, "127.0.0.1:" + port);
        lastStandinPorts.add(port + count - 1);
        return process;
    }

    /** Waits until all VMs of the stand-ins listen, so that the start of their processes delays nothing later. */
    void awaitStandins() {
        Await.until(
                "all stand-ins listening\n" + recentOutputs(),
                START_TIMEOUT_MS,
                () -> lastStandinPorts.stream().allMatch(ProcessFleet::isListening));
    }

    private static boolean isListening(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the HTTP addresses of all nodes. */
    List<String> entryAddresses() {
        return nodes.values().stream()
                .map(ports -> "127.0.0.1:" + ports.listen())
                .toList();
    }

    /** Returns the HTTP address of a node. */
    String entryAddress(String name) {
        return "127.0.0.1:" + nodes.get(name).listen();
    }

    /** Returns a process by the name of its node or by its VM names. */
    ManagedProcess process(String name) {
        return processes.get(name);
    }

    /** Returns the HTTP address of the first VM of the stand-in process that was started for {@code vms}. */
    String standinAddress(String vms) {
        return standinAddresses.get(vms);
    }

    /** Returns the folder of a node's durable state. */
    Path dataFolder(String name) {
        return folder.resolve(name + "-data");
    }

    /** Deletes a node's durable state, to simulate a lost disk; the node must not be running. */
    void deleteDataFolder(String name) {
        try (Stream<Path> files = Files.walk(dataFolder(name))) {
            files.sorted(Comparator.reverseOrder()).forEach(ProcessFleet::delete);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void delete(Path path) {
        try {
            Files.delete(path);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Applies a declared set on {@code baseRevision} and returns the new revision. Retries status 503 and missing
     * responses for 10 seconds; fails if the set is refused.
     */
    long apply(String declaredSet, long baseRevision, String changeId) {
        String path = "/v1/operator/apply?change_id=" + changeId + "&base_revision=" + baseRevision + "&operator=test";
        long deadlineNanos = System.nanoTime() + 10_000_000_000L;
        Optional<HttpResponse<String>> response =
                Http.trySend("POST", entryAddresses().get(0), path, declaredSet);
        while ((response.isEmpty() || response.get().statusCode() == 503) && System.nanoTime() < deadlineNanos) {
            Await.sleepMs(200);
            response = Http.trySend("POST", entryAddresses().get(0), path, declaredSet);
        }
        String responseBody = response.map(HttpResponse::body).orElse("no response");
        assertWithMessage("apply: %s", responseBody)
                .that(response.map(HttpResponse::statusCode).orElse(0))
                .isEqualTo(200);
        return DeclaredSetToml.parseRevision(responseBody);
    }

    /** Returns the entries of all journals of the stand-ins in order of time. */
    List<JournalEntry> journal() {
        return journals.keySet().stream()
                .flatMap(vms -> journal(vms).stream())
                .sorted(Comparator.comparingLong(JournalEntry::atNanos))
                .toList();
    }

    /** Returns the journal of the stand-in process that was started for {@code vms}. */
    List<JournalEntry> journal(String vms) {
        Path path = journals.get(vms);
        return Files.exists(path) ? Journal.read(path) : List.of();
    }

    /** Returns the last output of each process, for the messages of failed assertions. */
    String recentOutputs() {
        StringBuilder text = new StringBuilder();
        processes.forEach((name, process) -> {
            String output = process.output();
            text.append("== ")
                    .append(name)
                    .append(process.isAlive() ? "" : " (ended)")
                    .append('\n');
            text.append(output.substring(Math.max(0, output.length() - 1_500))).append('\n');
        });
        return text.toString();
    }

    private static void write(Path path, String text) {
        try {
            Files.writeString(path, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        processes.values().forEach(ManagedProcess::resume);
        processes.values().forEach(ManagedProcess::close);
        proxies.values().forEach(ProcessFleet::closeProxy);
    }

    private static void closeProxy(FaultInjectionProxy proxy) {
        try {
            proxy.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
