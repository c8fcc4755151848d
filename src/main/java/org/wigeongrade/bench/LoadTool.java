package org.wigeongrade.bench;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Command-line load tool: sends open-loop load to entry VMs, checks every response and reports latencies. If an
 * endpoint is named, it first sends the same load directly to that endpoint for comparison. Not safe for concurrent
 * use.
 */
public final class LoadTool {
    private static final int USAGE_EXIT_STATUS = 2;
    private static final int CLIENT_THREADS = 2;

    @Option(name = "--targets", usage = "ip:port of each entry VM, separated by commas", required = true)
    private String targets = "";

    @Option(name = "--direct", usage = "ip:port of an endpoint to send the same load to first, for comparison")
    private String direct = "";

    @Option(name = "--workload", usage = "kind of request")
    private Workload workload = Workload.CHAT;

    @Option(name = "--model", usage = "model to request")
    private String model = "model-a";

    @Option(name = "--keys", usage = "bearer keys of the organisations, separated by commas; used in turn")
    private String keys = "key";

    @Option(name = "--rate", usage = "requests per second")
    private double requestsPerSecond = 20;

    @Option(name = "--seconds", usage = "duration of each measured run, in seconds")
    private double seconds = 5;

    @Option(name = "--warm-up-seconds", usage = "duration of the warm-up before each measured run, in seconds")
    private double warmUpSeconds = 1;

    @Option(name = "--max-requests", usage = "maximum number of requests in each run")
    private long maxRequests = 100_000;

    @Option(
            name = "--max-in-flight",
            usage = "maximum number of requests in flight; a request due above it is not sent, only counted")
    private int maxInFlight = 256;

    @Option(name = "--max-tokens", usage = "number of tokens in each response")
    private int maxTokens = 16;

    @Option(name = "--prompt-chars", usage = "length of each shared prompt prefix, in characters")
    private int promptChars = 512;

    @Option(name = "--shared-prefixes", usage = "number of shared prompt prefixes; 0 for none")
    private int sharedPrefixes = 0;

    @Option(name = "--timeout-ms", usage = "time to wait for each response, in milliseconds")
    private long timeoutMs = 10_000;

    @Option(name = "--seed", usage = "seed of the run")
    private long seed = 1;

    @Option(name = "--revision", usage = "revision of the program to show in the report")
    private String revision = "unknown";

    @Option(name = "--out", usage = "prefix of the files to write: .txt, .json and .svg")
    private String out = "";

    public static void main(String[] args) throws IOException {
        LoadTool tool = new LoadTool();
        CmdLineParser parser = new CmdLineParser(tool);
        try {
            parser.parseArgument(Arrays.asList(args));
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_EXIT_STATUS);
        }
        tool.run();
    }

    /** Runs the load and prints the report; throws {@link IOException} if a report file cannot be written. */
    public void run() throws IOException {
        LoadPlan plan = plan();
        LoadReport report = new LoadReport(plan, revision);
        ExecutorService executor = Executors.newFixedThreadPool(CLIENT_THREADS);
        try {
            ModelClient client = new ModelClient(HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .executor(executor)
                    .build());
            if (!direct.isEmpty()) {
                report.add("direct", measure(plan.withTargets(List.of(direct)), client));
            }
            report.add("entries", measure(plan, client));
        } finally {
            executor.shutdown();
        }
        System.out.print(report.toText());
        write(report);
    }

    private LoadResult measure(LoadPlan plan, ModelClient client) {
        LoadResult unused = new LoadRun(plan.withDuration((long) (warmUpSeconds * 1_000)), client).run();
        return new LoadRun(plan, client).run();
    }

    private LoadPlan plan() {
        return new LoadPlan(
                List.of(targets.split(",")),
                workload,
                model,
                List.of(keys.split(",")),
                requestsPerSecond,
                (long) (seconds * 1_000),
                maxRequests,
                maxInFlight,
                maxTokens,
                promptChars,
                sharedPrefixes,
                timeoutMs,
                seed);
    }

    private void write(LoadReport report) throws IOException {
        if (out.isEmpty()) {
            return;
        }
        Files.writeString(Path.of(out + ".txt"), report.toText());
        Files.writeString(Path.of(out + ".json"), report.toJson());
        Files.writeString(Path.of(out + ".svg"), LatencyPlot.svg(report.resultsByRun()));
    }
}
