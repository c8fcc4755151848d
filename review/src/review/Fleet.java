package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The project's own processes, started with the commands of deploy/system.toml on loopback addresses: each node has an
 * address of its own and all have the same ports. Ends every process that it started.
 */
final class Fleet implements AutoCloseable {
    static final int HEARTBEAT_MS = 1_200;
    static final int GRACE_S = 8;
    private static final Random RANDOM = new Random();

    private final Path root = Path.of(System.getProperty("review.root")).toAbsolutePath().normalize();
    private final Path folder = Files.createTempDirectory("review-");
    private final int controls;
    private final int entries;
    private final int lossesBorne;
    private final String subnet;
    private final int firstPort;
    private final Process[] processes;
    private boolean closed;

    Fleet(int controls, int entries, int lossesBorne) throws IOException {
        this.controls = controls;
        this.entries = entries;
        this.lossesBorne = lossesBorne;
        this.processes = new Process[controls + entries];
        String candidate;
        int port;
        do {
            candidate = "127." + (16 + RANDOM.nextInt(200)) + "." + (1 + RANDOM.nextInt(250)) + ".";
            port = 20_000 + RANDOM.nextInt(10_000);
        } while (!areFree(candidate, port));
        this.subnet = candidate;
        this.firstPort = port;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private boolean areFree(String candidate, int port) {
        for (int host = 1; host <= controls + entries + 20; host++) {
            for (int offset = 0; offset < 8; offset++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(InetAddress.getByName(candidate + host), port + offset));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    int controls() {
        return controls;
    }

    String controlIp(int control) {
        return subnet + (1 + control);
    }

    String entryIp(int entry) {
        return subnet + (1 + controls + entry);
    }

    /** An address for stand-ins. */
    String replicaIp(int replica) {
        return subnet + (1 + controls + entries + replica);
    }

    int controlPort() {
        return firstPort + 4;
    }

    int callerPort() {
        return firstPort + 5;
    }

    int readinessPort() {
        return firstPort + 6;
    }

    int replicaPort() {
        return firstPort + 7;
    }

    Optional<Integer> controlAt(String address) {
        return IntStream.range(0, controls)
                .filter(control -> address.equals(controlIp(control) + ":" + controlPort()))
                .boxed()
                .findFirst();
    }

    void start() throws IOException {
        for (int node = 0; node < processes.length; node++) {
            start(node, true);
        }
    }

    private boolean isControl(int node) {
        return node < controls;
    }

    private String name(int node) {
        return isControl(node) ? "control-" + node : "entry-" + (node - controls);
    }

    private void start(int node, boolean bootstrap) throws IOException {
        final Path settings = folder.resolve(name(node) + ".toml");
        Files.writeString(settings, settings(node, bootstrap));
        final String command = command(isControl(node) ? "control" : "entry")
                .replace("/etc/wigeongrade/local.conf", settings.toString());
        processes[node] = new ProcessBuilder(command.split(" "))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name(node) + ".log").toFile()))
                .start();
    }

    /** Returns the line {@code run} of a role in the deploy file. */
    private String command(String role) throws IOException {
        boolean inRole = false;
        for (final String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.strip().equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/system.toml has no command for role " + role);
    }

    /** The keys of deploy/node.toml.in, with the bounds of the users' smallest installations. */
    private String settings(int node, boolean bootstrap) {
        final String ip = isControl(node) ? controlIp(node) : entryIp(node - controls);
        final String seeds = IntStream.range(0, Math.min(3, controls))
                .mapToObj(control -> "\"" + controlIp(control) + ":" + controlPort() + "\"")
                .collect(Collectors.joining(", "));
        final String role = isControl(node)
                ? "role = \"control\"\ncontrol_listen = \"" + ip + ":" + controlPort() + "\"\ndata_folder = \""
                        + folder.resolve("data-" + name(node)) + "\"\nlosses_borne = " + lossesBorne + "\n"
                : "role = \"entry\"\ncaller_listen = \"" + ip + ":" + callerPort() + "\"\nreadiness_listen = \"" + ip
                        + ":" + readinessPort() + "\"\n";
        return """
                name = "%s"
                availability_zone = "zone-a"
                ip = "%s"
                first_internal_port = %d
                seeds = [%s]
                bootstrap = %s
                heartbeat_ms = %d
                grace_s = %d
                revoke_ms = 5000
                config_apply_ms = 2000
                retry_ratio = 0.2
                retry_window_s = 10
                retry_slack = 130
                stall_ms = 4000
                cold_burst_factor = 1.5
                cold_margin = 5
                """.formatted(name(node), ip, firstPort, seeds, bootstrap, HEARTBEAT_MS, GRACE_S) + role;
    }

    /** Sends a configuration with one route and one service, as JSON objects, until it is acknowledged. */
    void publish(String route, String service) {
        final String document = """
                {"version":7,"routes":[%s],"services":[%s],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
                """.formatted(route, service);
        Case.await("the configuration is acknowledged", 30_000, () -> {
            for (int control = 0; control < controls; control++) {
                final Optional<Http.Message> answer = Http.call(
                        "POST", controlIp(control), controlPort(), "/-/configuration/replace", document, 1_000);
                if (answer.filter(message -> message.status() == 200).isPresent()) {
                    return true;
                }
            }
            return false;
        });
    }

    /** Returns a service without an engine for a configuration. */
    static String plainService(String name) {
        return """
                {"name":"%s","healthPath":"/healthz","maxConnections":49,"protocol":"h1","tls":false,"coldStartS":0.0,
                "coldRateS":0.0}""".formatted(name);
    }

    void awaitReady() {
        for (int entry = 0; entry < entries; entry++) {
            final String ip = entryIp(entry);
            Case.await(ip + " is ready", 30_000, () -> Http.call("GET", ip, readinessPort(), "/-/readyz", "", 1_000)
                    .filter(message -> message.status() == 200)
                    .isPresent());
        }
    }

    /** Sends a signal to an entry node that this fleet started. */
    void signalEntry(int entry, String signal) throws IOException, InterruptedException {
        signal(controls + entry, signal);
    }

    void signalControl(int control, String signal) throws IOException, InterruptedException {
        signal(control, signal);
    }

    /** Stops a control process for a time, as a machine that freezes and wakes again. */
    void freezeControl(int control, long forMs) throws IOException, InterruptedException {
        signal(control, "STOP");
        Case.sleepMs(forMs);
        signal(control, "CONT");
        Case.note("control-" + control + " was frozen for " + forMs + " ms");
    }

    /** Returns the lines of a control node's log that contain a text. */
    List<String> controlLog(int control, String text) throws IOException {
        try (Stream<String> lines = Files.lines(folder.resolve(name(control) + ".log"))) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    /** Asks the control nodes which of them leads. */
    int leader() {
        for (int control = 0; control < controls; control++) {
            if (Http.call("GET", controlIp(control), controlPort(), "/-/configuration/read", "", 1_000)
                    .filter(answer -> answer.status() == 200)
                    .isPresent()) {
                return control;
            }
        }
        throw new IllegalStateException("no control node leads");
    }

    private void signal(int node, String signal) throws IOException, InterruptedException {
        if (signal.equals("KILL")) {
            processes[node].destroyForcibly();
        } else {
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + processes[node].pid()).start().waitFor();
        }
        Case.note("SIG" + signal + " to " + name(node));
    }

    boolean isEntryAlive(int entry) {
        return processes[controls + entry].isAlive();
    }

    /** Returns the lines of a node's log that contain a text. */
    List<String> entryLog(int entry, String text) throws IOException {
        try (Stream<String> lines = Files.lines(folder.resolve(name(controls + entry) + ".log"))) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        final List<Process> started = new ArrayList<>();
        for (final Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
                started.add(process);
            }
        }
        try {
            for (final Process process : started) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
            if (System.getenv("KEEP_LOGS") == null) {
                try (Stream<Path> files = Files.walk(folder)) {
                    for (final Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                        Files.delete(file);
                    }
                }
            } else {
                System.out.println("logs: " + folder);
            }
        } catch (IOException | InterruptedException e) {
            System.out.println("clean-up: " + e);
        }
    }
}
