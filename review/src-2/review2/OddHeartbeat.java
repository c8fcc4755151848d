package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One heartbeat of another writer, for a service that no configuration names, states the address of the head of a group.
 * It names no replica to use, and the others hold; so no member may be ordered into another group while that head serves.
 */
public final class OddHeartbeat {
    private static final int REPLICAS = 6;
    private static final String CONFIGURATION = "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"hostname\":\""
            + Requester.HOST + "\",\"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":6000,"
            + "\"targetLatencyMs\":300,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":2,\"anonymous\":true,"
            + "\"sessionAffinity\":true,\"resumable\":true,\"targetItlMs\":200}],\"services\":[{\"name\":\"pool\","
            + "\"healthPath\":\"/healthz\",\"maxConnections\":384,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,"
            + "\"coldRateS\":0.0,\"engine\":{\"slots\":18,\"kvCapacity\":969230,\"kvBytes\":50752,\"linkMbps\":400000.0,"
            + "\"stride\":5,\"models\":[{\"name\":\"" + Engine.MODEL + "\",\"size\":2,\"share\":1.0,\"pace\":1.0,"
            + "\"loadS\":12.0,\"warmupS\":1.1}],\"step_ms\":6.07,\"per_seq_ms\":0.348,\"context_per_k\":0.00705,"
            + "\"read_per_s\":46000.0,\"pairs_per_m\":0.7,\"chunk\":2048,\"report_lag_ms\":200.0,\"loadsPerS\":4.0,"
            + "\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":1076,\"answer\":116},\"retains\":1,\"far_x\":2.5,"
            + "\"formationMs\":300.0}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

    private OddHeartbeat() {}

    public static void main(String[] arguments) throws Exception {
        Fleet.exitWithTwoIfMainFails();
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        final AtomicInteger violations = new AtomicInteger();
        int status = 2;
        try (CaseRecord record = new CaseRecord(Path.of(arguments[0], "record.txt"));
                Fleet fleet = new Fleet(3, 0, 1, record)) {
            fleet.publishAndAwaitReady(CONFIGURATION);
            // Loads take a tenth of their time before the first request.
            final Engine.Cluster cluster = new Engine.Cluster(
                    record,
                    text -> {
                        violations.incrementAndGet();
                        record.line("TWO: " + text);
                    },
                    1_200,
                    1_100,
                    300,
                    4_000);
            final List<Engine> engines = new ArrayList<>();
            final List<Replica> replicas = new ArrayList<>();
            for (int number = 0; number < REPLICAS; number++) {
                final Engine engine = new Engine("i-" + number, "fabric-1", cluster);
                engines.add(engine);
                final Replica replica = new Replica(fleet, number, "pool", record, engine::serve, engine::fields);
                engine.setReplica(replica);
                replicas.add(replica);
            }
            final long endNanos = System.nanoTime() + 40_000_000_000L;
            while (engines.stream().filter(Engine::isOpenHead).count() < 2 && System.nanoTime() - endNanos < 0) {
                Thread.sleep(100);
            }
            Thread.sleep(5_000);
            if (engines.stream().filter(Engine::isOpenHead).count() == 2) {
                status = 0;
            }
            final Engine head = engines.stream().filter(Engine::isOpenHead).findFirst().orElseThrow();
            engines.forEach(engine -> record.line(engine.description()));
            if (trouble) {
                final String odd = "{\"service\":\"not-named\",\"address\":\""
                        + replicas.get(engines.indexOf(head)).address()
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":18,\"state\":\"ready\","
                        + "\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}";
                final int answer = fleet.call(0, "POST", "/-/instances/w-1/heartbeat", odd, 1_000)
                        .orElseThrow()
                        .statusCode();
                record.line("a heartbeat of another writer with the address of " + head.id + ": " + odd + " -> " + answer);
            }
            Thread.sleep(20_000);
            engines.forEach(engine -> record.line(engine.description()));
            if (violations.get() > 0) {
                status = 1;
            }
            for (final Replica replica : replicas) {
                replica.close();
            }
            record.line(status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "could not run");
        }
        System.exit(status);
    }
}
