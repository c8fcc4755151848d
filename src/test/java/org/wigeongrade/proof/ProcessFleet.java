package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
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
 * Separate processes on loopback: nodes of this system and stand-ins of the outside systems.
 *
 * <p>Invariant: {@link #close} ends every process that the fleet started, by its id. Not safe for concurrent use while
 * processes are added.
 */
final class ProcessFleet implements AutoCloseable {
    private static final String MAIN = "org.wigeongrade.command.Main";
    private static final String STANDIN_MAIN = "org.wigeongrade.standin.StandinMain";

    private final Path folder;
    private final boolean cuttable;
    private final Map<String, NodePorts> nodes = new LinkedHashMap<>();
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();
    private final Map<String, CuttingProxy> proxies = new HashMap<>();
    private final Map<String, String> standinAddresses = new HashMap<>();
    private final Map<String, Path> journals = new LinkedHashMap<>();

    private record NodePorts(boolean control, int listen, int peer, int log) {}

    private ProcessFleet(Path folder, boolean cuttable) {
        this.folder = folder;
        this.cuttable = cuttable;
    }

    /** Starts {@code controls} control nodes and {@code others} more; {@code entry-1} is the first. */
    static ProcessFleet start(Path folder, int controls, int others) {
        return start(folder, controls, others, false);
    }

    /** Starts nodes; with {@code cuttable}, connections between them pass through proxies. */
    static ProcessFleet start(Path folder, int controls, int others, boolean cuttable) {
        ProcessFleet fleet = new ProcessFleet(folder, cuttable);
        for (int i = 1; i <= controls + others; i++) {
            int first = LoopbackPorts.freeRow(3);
            fleet.nodes.put("entry-" + i, new NodePorts(i <= controls, first, first + 1, first + 2));
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
                    name, ManagedProcess.java(name, folder, MAIN, List.of("node", "--settings", settings.toString())));
        }
        Await.until(
                "all nodes healthy\n" + outputs(),
                25_000,
                () -> entries().stream().allMatch(Http::isHealthy));
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
        if (!cuttable || from.equals(to)) {
            return "127.0.0.1:" + port;
        }
        return proxies.computeIfAbsent(from + ">" + to + ":" + port, key -> newProxy(port))
                .address();
    }

    private static CuttingProxy newProxy(int port) {
        try {
            return new CuttingProxy(port);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String zoneOfNode(String name) {
        return List.of("zone-a", "zone-b", "zone-c").get((Integer.parseInt(name.substring("entry-".length())) - 1) % 3);
    }

    /** Sets what becomes of connections between {@code name} and the other nodes, both ways. */
    void cut(String name, CuttingProxy.Mode mode) {
        proxies.forEach((key, proxy) -> {
            if (key.startsWith(name + ">") || key.contains(">" + name + ":")) {
                proxy.set(mode);
            }
        });
    }

    /** Silences every open connection between nodes for good, while new ones pass. */
    void silenceOpenConnections() {
        proxies.values().forEach(CuttingProxy::silenceOpenConnections);
    }

    /** Starts engine VMs in one process; {@code vms} are names with commas. Returns the process. */
    ManagedProcess engines(String vms, String... arguments) {
        return standin("engine", vms, arguments);
    }

    /** Starts plain service VMs in one process. */
    ManagedProcess services(String vms, String... arguments) {
        return standin("service", vms, arguments);
    }

    private ManagedProcess standin(String kind, String vms, String... arguments) {
        int count = vms.split(",").length;
        int port = LoopbackPorts.freeRow(count);
        Path journal = folder.resolve(vms.replace(',', '_') + ".journal");
        List<String> all = new ArrayList<>(List.of(
                kind,
                "--vms",
                vms,
                "--listen",
                "127.0.0.1:" + port,
                "--entries",
                String.join(",", entries()),
                "--journal",
                journal.toString()));
        all.addAll(Arrays.asList(arguments));
        ManagedProcess process = ManagedProcess.java(vms, folder, STANDIN_MAIN, all);
        processes.put(vms, process);
        journals.put(vms, journal);
        standinAddresses.put(vms, "127.0.0.1:" + port);
        return process;
    }

    /** Returns the HTTP addresses of all nodes. */
    List<String> entries() {
        return nodes.values().stream()
                .map(ports -> "127.0.0.1:" + ports.listen())
                .toList();
    }

    /** Returns the HTTP address of a node. */
    String entry(String name) {
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

    /** Returns the folder with a node's durable state. */
    Path dataFolder(String name) {
        return folder.resolve(name + "-data");
    }

    /** Removes a node's durable state, as when its disk is lost; the node must not run. */
    void loseDataFolder(String name) {
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

    /** Applies a declared set on {@code baseRevision} and returns the new revision; fails if it is refused. */
    long apply(String declared, long baseRevision, String changeId) {
        String path = "/v1/operator/apply?change_id=" + changeId + "&base_revision=" + baseRevision + "&operator=test";
        long deadlineNanos = System.nanoTime() + 10_000_000_000L;
        Optional<HttpResponse<String>> answer = Http.trySend("POST", entries().get(0), path, declared);
        while ((answer.isEmpty() || answer.get().statusCode() == 503) && System.nanoTime() < deadlineNanos) {
            Await.sleepMs(200);
            answer = Http.trySend("POST", entries().get(0), path, declared);
        }
        String text = answer.map(HttpResponse::body).orElse("no answer");
        assertWithMessage("apply: %s", text)
                .that(answer.map(HttpResponse::statusCode).orElse(0))
                .isEqualTo(200);
        return Operators.revision(text);
    }

    /** Returns the journals of all stand-ins in the order of time. */
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

    /** Returns the last output of each process, for messages of failed tests. */
    String outputs() {
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
        processes.values().forEach(ManagedProcess::thaw);
        processes.values().forEach(ManagedProcess::close);
        proxies.values().forEach(ProcessFleet::closeProxy);
    }

    private static void closeProxy(CuttingProxy proxy) {
        try {
            proxy.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
