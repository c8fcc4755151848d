package org.wigeongrade.standin;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.kohsuke.args4j.Option;
import ratpack.exec.Execution;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Simulates a plain service such as a ledger: one or several VMs in this process.
 *
 * <p>Safe for use from any thread.
 */
public final class ServiceStandin implements AutoCloseable {
    private final Journal journal;
    private final EntryBalancer balancer;
    private final HttpClient client = StandinCommand.newHttpClient();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, Threads.daemon("service"));
    private final List<AutoCloseable> parts = new ArrayList<>();

    private ServiceStandin(Options options) {
        this.journal = options.openJournal();
        this.balancer = new EntryBalancer(options.entryAddresses(), client);
    }

    /** Starts the VMs named in {@code options}. */
    public static ServiceStandin start(Options options) throws Exception {
        ServiceStandin standin = new ServiceStandin(options);
        for (int i = 0; i < options.vmNames().size(); i++) {
            standin.startVm(options, i);
        }
        return standin;
    }

    private void startVm(Options options, int index) throws Exception {
        ServiceVm.Settings settings = options.settings(index);
        ServiceVm vm = new ServiceVm(settings, journal);
        vm.apply(options.faults());
        parts.add(StandinServer.start(settings.address(), options.threads, chain -> addTo(chain, vm)));
        parts.add(new Announcer(balancer, client, timer, vm::announcement));
    }

    private static void addTo(Chain chain, ServiceVm vm) throws Exception {
        chain.get("standin/journal", ctx -> ctx.render(vm.journal().toJsonLines()));
        chain.post(
                "standin/faults",
                ctx -> ctx.getRequest().getBody().then(body -> {
                    vm.apply(StandinJson.MAPPER.readValue(body.getText(), Faults.class));
                    ctx.render("");
                }));
        chain.all(ctx -> ctx.getRequest().getBody().then(body -> handleCall(ctx, vm, body.getText())));
    }

    private static void handleCall(Context ctx, ServiceVm vm, String body) {
        ServiceVm.Call call = new ServiceVm.Call(
                StandinServer.header(ctx, "X-Request-Id", ""),
                ctx.getRequest().getMethod().getName(),
                ctx.getRequest().getUri(),
                StandinServer.header(ctx, "Idempotency-Key", null),
                body);
        boolean cold = vm.isCold();
        if (!vm.admit(call)) {
            StandinServer.sendRefusal(ctx, 503, "fault_switch");
            return;
        }
        Execution.sleep(Duration.ofNanos(vm.workNanos()), () -> execute(ctx, vm, call, cold));
    }

    private static void execute(Context ctx, ServiceVm vm, ServiceVm.Call call, boolean cold) {
        long executed = vm.execute(call);
        if (vm.faults().current().hang()) {
            Execution.sleep(Duration.ofMillis(20), () -> waitWhileHanging(ctx, vm, call, cold, executed));
            return;
        }
        respond(ctx, vm, call, cold, executed);
    }

    private static void waitWhileHanging(Context ctx, ServiceVm vm, ServiceVm.Call call, boolean cold, long executed) {
        if (vm.faults().current().hang()) {
            Execution.sleep(Duration.ofMillis(20), () -> waitWhileHanging(ctx, vm, call, cold, executed));
            return;
        }
        respond(ctx, vm, call, cold, executed);
    }

    private static void respond(Context ctx, ServiceVm vm, ServiceVm.Call call, boolean cold, long executed) {
        if (vm.faults().dropsResponse()) {
            vm.finish(call, JournalEvent.DROPPED);
            StandinServer.closeConnection(ctx);
            return;
        }
        vm.finish(call, JournalEvent.COMPLETED);
        String attemptId = vm.faults().usesWrongAttemptId() ? "attempt-of-another-request" : call.attemptId();
        ctx.getResponse().getHeaders().set("X-Request-Id", attemptId);
        if (cold) {
            ctx.getResponse().getHeaders().set("X-Endpoint-State", "cold");
        }
        Map<String, Object> response = new HashMap<>();
        response.put("executed", executed);
        response.put("method", call.method());
        response.put("path", call.path());
        response.put("digest", call.digest());
        StandinServer.sendJson(ctx, 200, response);
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

    /** Command line options of the service stand-in. Not safe for concurrent use. */
    public static final class Options extends EndpointOptions implements StandinCommand {
        @Option(name = "--service", usage = "name of the service")
        private String service = "ledger";

        @Option(name = "--cold-capacity", usage = "calls in flight above which a cold VM fails")
        private int coldCapacity = 2;

        @Option(name = "--cold-requests", usage = "completed calls after which a cold VM becomes warm; 0 starts warm")
        private int coldRequests = 0;

        @Option(name = "--work-ms", usage = "execution time of a call, in milliseconds")
        private long workMs = 2;

        @Option(name = "--drop-answers-ratio", usage = "fraction of responses that are dropped after the call ran")
        private double dropAnswersRatio = 0;

        private ServiceVm.Settings settings(int index) {
            return new ServiceVm.Settings(
                    vmNames().get(index),
                    addresses().get(index),
                    valueForVm(zone, index),
                    service,
                    coldCapacity,
                    coldRequests,
                    workMs,
                    seed + index);
        }

        private Faults faults() {
            return new Faults(0, dropAnswersRatio, 0, 0, 0, false, false, false);
        }

        @Override
        public AutoCloseable start() throws Exception {
            return ServiceStandin.start(this);
        }
    }
}
