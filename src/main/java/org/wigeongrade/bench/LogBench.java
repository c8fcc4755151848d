package org.wigeongrade.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.wigeongrade.disk.FileOperations;
import org.wigeongrade.disk.LogStore;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.log.RaftReplicatedLog;

/**
 * Measures the replicated log: commit latency and throughput, idle cost, failover time, restart time and log bytes per
 * entry.
 *
 * <p>Prints one JSON object. Takes under two minutes with the default options. Not thread-safe.
 */
public final class LogBench {
    private static final int[] CONCURRENCIES = {1, 16};
    private static final int[] RESTART_ENTRIES = {1_000, 10_000};
    private static final int PAYLOAD_BYTES = 256;
    private static final int FAILOVERS = 10;
    private static final long IDLE_MS = 10_000;
    private static final int FOLDER_OPENS = 5;
    private static final long WARM_UP_MS = 2_000;
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    @Option(
            name = "--folder",
            usage = "folder on the disk to measure; subfolders are created in it and kept",
            required = true)
    private Path folder = Path.of("");

    @Option(name = "--seconds", usage = "duration of the measurement at each concurrency, in seconds")
    private int seconds = 5;

    private LogBench() {}

    public static void main(String[] arguments) throws Exception {
        LogBench bench = new LogBench();
        CmdLineParser parser = new CmdLineParser(bench);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        System.out.println(mapper.writeValueAsString(bench.run()));
        System.exit(0);
    }

    private Map<String, Object> run() throws Exception {
        Files.createDirectories(folder);
        Map<String, Object> results = new LinkedHashMap<>();
        results.put("payload_bytes", PAYLOAD_BYTES);
        try (LogBenchCluster cluster = newCluster()) {
            submitCommands(cluster, 1, TimeUnit.MILLISECONDS.toNanos(WARM_UP_MS), Long.MAX_VALUE);
            for (int concurrency : CONCURRENCIES) {
                long runNanos = TimeUnit.SECONDS.toNanos(seconds);
                results.put(
                        "commit_concurrency_" + concurrency,
                        submitCommands(cluster, concurrency, runNanos, Long.MAX_VALUE));
            }
            results.put("idle", measureIdle(cluster));
            results.put(
                    "new_leader_after_stop_ms",
                    measureFailovers(cluster, cluster::stop, stopped -> cluster.startAll()));
            results.put(
                    "new_leader_after_silent_cut_ms", measureFailovers(cluster, cluster::isolate, cluster::reconnect));
        }
        for (int entries : RESTART_ENTRIES) {
            results.put("restart_after_" + entries, measureRestart(entries));
        }
        return results;
    }

    private LogBenchCluster newCluster() throws IOException {
        return new LogBenchCluster(Files.createTempDirectory(folder, "log-bench-"));
    }

    /**
     * Submits commands, keeping a fixed number in flight, until the time is over or the number of entries is reached.
     */
    private static Map<String, Object> submitCommands(
            LogBenchCluster cluster, int concurrency, long runNanos, long maxEntries) throws InterruptedException {
        RaftReplicatedLog leader = cluster.log(cluster.awaitLeader());
        Histogram latencyMicros = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
        Semaphore inFlight = new Semaphore(concurrency);
        long startNanos = System.nanoTime();
        long entries = 0;
        while (System.nanoTime() - startNanos < runNanos && entries < maxEntries) {
            inFlight.acquire();
            entries++;
            submit(leader, latencyMicros, inFlight);
        }
        inFlight.acquire(concurrency);
        double elapsedS = (System.nanoTime() - startNanos) / 1e9;
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("entries", entries);
        result.put("completed", latencyMicros.getTotalCount());
        result.put("entries_per_s", Math.round(latencyMicros.getTotalCount() / elapsedS));
        result.put("p50_ms", latencyMicros.getValueAtPercentile(50) / 1e3);
        result.put("p99_ms", latencyMicros.getValueAtPercentile(99) / 1e3);
        return result;
    }

    private static void submit(RaftReplicatedLog leader, Histogram latencyMicros, Semaphore inFlight) {
        long sentNanos = System.nanoTime();
        CompletableFuture<byte[]> commit = leader.submit(new byte[PAYLOAD_BYTES]);
        CompletableFuture<byte[]> unused = commit.whenComplete((result, failure) -> {
            if (failure == null) {
                latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNanos));
            }
            inFlight.release();
        });
    }

    /**
     * Measures, while nothing is submitted, the messages that the leader sends and the processor time of the whole
     * process.
     */
    private static Map<String, Object> measureIdle(LogBenchCluster cluster) throws InterruptedException {
        NodeName leader = cluster.awaitLeader();
        long messagesBefore = cluster.sentMessageCount(leader);
        long cpuBeforeNanos = cpuNanos();
        Thread.sleep(IDLE_MS);
        double idleS = IDLE_MS / 1e3;
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("leader_messages_per_s", (cluster.sentMessageCount(leader) - messagesBefore) / idleS);
        result.put("cpu_ms_per_s_of_three_replicas", (cpuNanos() - cpuBeforeNanos) / 1e6 / idleS);
        return result;
    }

    private static long cpuNanos() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .orElse(Duration.ZERO)
                .toNanos();
    }

    private static Map<String, Object> measureFailovers(
            LogBenchCluster cluster, Consumer<NodeName> removeLeader, Consumer<NodeName> restoreReplica) {
        Histogram durationsMs = new Histogram(MAX_LATENCY_MICROS, 3);
        for (int i = 0; i < FAILOVERS; i++) {
            NodeName oldLeader = cluster.awaitLeader();
            cluster.awaitAllApplied();
            long startNanos = System.nanoTime();
            removeLeader.accept(oldLeader);
            cluster.awaitLeader();
            durationsMs.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
            restoreReplica.accept(oldLeader);
            cluster.awaitAllApplied();
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("runs", durationsMs.getTotalCount());
        result.put("min", durationsMs.getMinValue());
        result.put("p50", durationsMs.getValueAtPercentile(50));
        result.put("max", durationsMs.getMaxValue());
        return result;
    }

    private Map<String, Object> measureRestart(int entries) throws Exception {
        try (LogBenchCluster cluster = newCluster()) {
            cluster.awaitLeader();
            long emptyLogBytes = cluster.logSizeBytes(cluster.awaitLeader());
            submitCommands(cluster, 16, Long.MAX_VALUE, entries);
            cluster.awaitAllApplied();
            NodeName leader = cluster.awaitLeader();
            long appliedIndexBefore = cluster.log(leader).appliedIndex();
            long logBytes = cluster.logSizeBytes(leader);
            cluster.stopAll();
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("log_bytes_per_entry", (logBytes - emptyLogBytes) / entries);
            result.put("folder_open_ms", medianFolderOpenMs(cluster.dataFolder(leader)));
            long startNanos = System.nanoTime();
            cluster.startAll();
            cluster.awaitLeader();
            result.put("leader_with_all_applied_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
            result.put("applied_index_before", appliedIndexBefore);
            result.put("applied_index_after", cluster.log(cluster.awaitLeader()).appliedIndex());
            return result;
        }
    }

    private static double medianFolderOpenMs(Path dataFolder) {
        Histogram durationsMicros = new Histogram(MAX_LATENCY_MICROS, 3);
        for (int i = 0; i < FOLDER_OPENS; i++) {
            long startNanos = System.nanoTime();
            LogStore.open(dataFolder, FileOperations.SYSTEM, () -> 0).close();
            durationsMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
        }
        return durationsMicros.getValueAtPercentile(50) / 1e3;
    }
}
