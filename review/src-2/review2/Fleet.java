package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A small deployment: control and entry nodes as processes of their own, started with the commands of the deploy file,
 * each on a loopback address of its own. {@link #close} ends every process that was started here.
 */
final class Fleet implements AutoCloseable {
    private static final int START_MS = 40_000;
    private static final int CALL_MS = 1_000;

    final Path folder;
    final int firstPort;
    final int controls;
    final int entries;
    private final int lossesBorne;
    private final int network = ThreadLocalRandom.current().nextInt(20, 250);
    private final Process[] processes;
    private final CaseRecord record;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(CALL_MS)).build();

    Fleet(int controls, int entries, int lossesBorne, CaseRecord record) throws IOException {
        this.controls = controls;
        this.entries = entries;
        this.lossesBorne = lossesBorne;
        this.record = record;
        this.folder = Files.createTempDirectory("review2-");
        this.processes = new Process[controls + entries];
        this.firstPort = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        for (int node = 0; node < controls + entries; node++) {
            start(node, true);
        }
    }

    /** Lets this process exit with 2 if its main thread fails: a case that could not run is neither broken nor held. */
    static void exitWithTwoIfMainFails() {
        Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> {
            failure.printStackTrace();
            System.exit(2);
        });
    }

    String controlIp(int control) {
        return "127." + network + ".1." + (control + 1);
    }

    String entryIp(int entry) {
        return "127." + network + ".2." + (entry + 1);
    }

    String replicaIp(int replica) {
        return "127." + network + ".3." + (replica + 1);
    }

    int controlPort() {
        return firstPort + 8;
    }

    InetSocketAddress entryAddress(int entry) {
        return new InetSocketAddress(entryIp(entry), firstPort + 9);
    }

    InetSocketAddress readinessAddress(int entry) {
        return new InetSocketAddress(entryIp(entry), firstPort + 10);
    }

    InetSocketAddress metricsAddress(int entry) {
        return new InetSocketAddress(entryIp(entry), 9464);
    }

    /** Nodes are numbered: the control nodes first, then the entry nodes. */
    Process process(int node) {
        return processes[node];
    }

    int entryNode(int entry) {
        return controls + entry;
    }

    void signal(int node, String signal) throws IOException, InterruptedException {
        record.line("signal " + signal + " to " + name(node));
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes[node].pid())).start().waitFor();
    }

    String log(int node) throws IOException {
        return Files.readString(folder.resolve(name(node) + ".log"));
    }

    String name(int node) {
        return node < controls ? "control-" + (node + 1) : "entry-" + (node - controls + 1);
    }

    void start(int node, boolean bootstrap) throws IOException {
        final boolean control = node < controls;
        final Path settings = folder.resolve(name(node) + ".toml");
        Files.writeString(settings, settings(node, control, bootstrap));
        final List<String> command = Arrays.stream(runCommand(control ? "control" : "entry").split(" "))
                .map(word -> word.equals("/etc/wigeongrade/local.conf") ? settings.toString() : word)
                .collect(Collectors.toList());
        processes[node] = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name(node) + ".log").toFile()))
                .start();
        record.line("started " + name(node));
    }

    private String settings(int node, boolean control, boolean bootstrap) {
        final String ip = control ? controlIp(node) : entryIp(node - controls);
        final String seeds = IntStream.range(0, Math.min(3, controls))
                .mapToObj(seed -> "\"" + controlIp(seed) + ":" + controlPort() + "\"")
                .collect(Collectors.joining(", "));
        final String own = control
                ? "control_listen = \"" + ip + ":" + controlPort() + "\"\ndata_folder = \""
                        + folder.resolve("data-" + node) + "\"\n"
                : "caller_listen = \"" + ip + ":" + (firstPort + 9) + "\"\nreadiness_listen = \"" + ip + ":"
                        + (firstPort + 10) + "\"\n";
        return "name = \"" + name(node) + "\"\nrole = \"" + (control ? "control" : "entry")
                + "\"\navailability_zone = \"zone-a\"\nip = \"" + ip + "\"\n" + own
                + "first_internal_port = " + firstPort + "\nmetrics_port = 9464\nseeds = [" + seeds + "]\nbootstrap = "
                + bootstrap + "\nlosses_borne = " + lossesBorne
                + "\nheartbeat_ms = 1200\ngrace_s = 8\nrevoke_ms = 5000\nconfig_apply_ms = 2000\nretry_ratio = 0.2\n"
                + "retry_window_s = 10\nretry_slack = 130\nstall_ms = 4000\ncold_burst_factor = 1.5\ncold_margin = 5\n"
                + "max_descriptors = 4200\n";
    }

    private static String runCommand(String role) throws IOException {
        String section = "";
        for (final String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("[")) {
                section = line.strip();
            } else if (section.equals("[roles." + role + "]") && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IllegalStateException("no command for role " + role);
    }

    private int freePorts() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            final int base = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            boolean free = true;
            for (int offset = 0; offset < 11 && free; offset++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(InetAddress.getByName(controlIp(0)), base + offset));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    /** Sends a call to each control node in turn until one answers 200; returns whether one did in time. */
    boolean operatorCall(String path, String body, long withinMs) throws InterruptedException {
        final long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        while (System.nanoTime() - endNanos < 0) {
            for (int control = 0; control < controls; control++) {
                if (call(control, "POST", path, body, 2_000).map(HttpResponse::statusCode).orElse(0) == 200) {
                    return true;
                }
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** Sends a call, and follows redirects twice; returns the response, if there was one in time. */
    Optional<HttpResponse<String>> call(int control, String method, String path, String body, long timeoutMs) {
        return call(controlUri(control, path), method, body, timeoutMs, 3);
    }

    Optional<HttpResponse<String>> callWithoutRedirect(
            int control, String method, String path, String body, long timeoutMs) {
        return call(controlUri(control, path), method, body, timeoutMs, 1);
    }

    private String controlUri(int control, String path) {
        return "http://" + controlIp(control) + ":" + controlPort() + path;
    }

    private Optional<HttpResponse<String>> call(
            String firstUri, String method, String body, long timeoutMs, int maxHops) {
        String uri = firstUri;
        try {
            for (int hop = 1; ; hop++) {
                final HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                        .timeout(Duration.ofMillis(timeoutMs))
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
                final HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
                if (response.statusCode() != 307 || hop == maxHops) {
                    return Optional.of(response);
                }
                uri = response.headers().firstValue("location").orElseThrow();
            }
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /** Publishes the first configuration and waits until every entry node is ready. */
    void publishAndAwaitReady(String document) throws InterruptedException {
        if (!operatorCall("/-/configuration/replace", document, START_MS)) {
            throw new IllegalStateException("the configuration was not acknowledged");
        }
        record.line("the configuration was acknowledged");
        for (int entry = 0; entry < entries; entry++) {
            awaitReady(entry);
        }
    }

    void awaitReady(int entry) throws InterruptedException {
        final long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MS);
        while (!isReady(entry)) {
            if (System.nanoTime() - endNanos > 0) {
                throw new IllegalStateException("entry node " + (entry + 1) + " is not ready");
            }
            Thread.sleep(100);
        }
    }

    boolean isReady(int entry) {
        try {
            return client.send(
                                    HttpRequest.newBuilder(URI.create("http://" + entryIp(entry) + ":"
                                                    + (firstPort + 10) + "/-/readyz"))
                                            .timeout(Duration.ofMillis(CALL_MS))
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void endProcesses() {
        for (final Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (final Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("kept " + folder);
            return;
        }
        final List<Path> files = new ArrayList<>();
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(files::add);
        }
        for (final Path file : files) {
            Files.deleteIfExists(file);
        }
    }
}
