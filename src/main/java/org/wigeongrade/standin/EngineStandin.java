package org.wigeongrade.standin;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.kohsuke.args4j.Option;

/**
 * Simulates model engines: one or several VMs in this process, each with its own address and announcements.
 *
 * <p>Safe for use from any thread.
 */
public final class EngineStandin implements AutoCloseable {
    private static final int TIMER_THREADS = 2;

    private final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(TIMER_THREADS, Threads.daemon("engine"));
    private final Journal journal;
    private final EntryBalancer balancer;
    private final List<AutoCloseable> parts = new ArrayList<>();

    private EngineStandin(Options options) {
        this.journal = options.openJournal();
        this.balancer = new EntryBalancer(options.entryAddresses(), options.httpClient());
    }

    /** Starts the VMs named in {@code options}. */
    public static EngineStandin start(Options options) throws Exception {
        EngineStandin standin = new EngineStandin(options);
        for (int i = 0; i < options.vmNames().size(); i++) {
            standin.startVm(options, i);
        }
        return standin;
    }

    private void startVm(Options options, int index) throws Exception {
        EngineSettings settings = options.settings(index);
        EngineVm engine = new EngineVm(settings, timer, journal);
        parts.add(StandinServer.start(
                settings.address(), options.threads, chain -> new EngineHandlers(engine).addTo(chain)));
        parts.add(new Announcer(balancer, options.httpClient(), timer, engine::announcement));
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable part : parts) {
            part.close();
        }
        balancer.close();
        timer.shutdownNow();
        journal.close();
    }

    /** Command line options of the engine stand-in. Not safe for concurrent use. */
    public static final class Options extends EndpointOptions implements StandinCommand {
        @Option(
                name = "--domain",
                usage = "fabric domain; several, separated by commas, are assigned to contiguous blocks of VMs")
        private String domain = "domain-a";

        @Option(name = "--accelerators", usage = "accelerators of each VM")
        private int accelerators = 8;

        @Option(name = "--fencing", usage = "checked or ignored")
        private String fencing = "checked";

        @Option(name = "--load-ms", usage = "time to load a model version, in milliseconds")
        private long loadMs = 500;

        @Option(name = "--capacity", usage = "requests that run concurrently when warm")
        private int capacity = 8;

        @Option(name = "--cold-capacity", usage = "requests in flight above which a cold VM fails")
        private int coldCapacity = 2;

        @Option(name = "--cold-requests", usage = "completed responses after which a cold VM becomes warm")
        private int coldRequests = 4;

        @Option(
                name = "--cold-grace-ms",
                usage = "time after turning cold during which overload does not make the VM fail, in milliseconds")
        private long coldGraceMs = 0;

        @Option(
                name = "--down-ms",
                usage = "time for which a failed VM stays down, in milliseconds; 0 ends the process")
        private long downMs = 0;

        @Option(name = "--prefill-ms", usage = "time to process each uncached block of the prompt, in milliseconds")
        private long prefillMs = 1;

        @Option(name = "--token-ms", usage = "time between tokens, in milliseconds")
        private long tokenMs = 5;

        @Option(name = "--report-lag-ms", usage = "age of the load that is reported, in milliseconds")
        private long reportLagMs = 0;

        @Option(name = "--cache-blocks", usage = "size of the prefix cache in blocks")
        private int cacheBlocks = 1024;

        private HttpClient client;

        private HttpClient httpClient() {
            if (client == null) {
                client = StandinCommand.newHttpClient();
            }
            return client;
        }

        private EngineSettings settings(int index) {
            return new EngineSettings(
                    vmNames().get(index),
                    addresses().get(index),
                    valueForVm(zone, index),
                    valueForVm(domain, index),
                    accelerators,
                    "checked".equals(fencing),
                    loadMs,
                    capacity,
                    coldCapacity,
                    coldRequests,
                    coldGraceMs,
                    downMs,
                    prefillMs,
                    tokenMs,
                    reportLagMs,
                    cacheBlocks,
                    seed + index);
        }

        @Override
        public AutoCloseable start() throws Exception {
            return EngineStandin.start(this);
        }
    }
}
