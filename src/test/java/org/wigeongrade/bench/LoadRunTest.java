package org.wigeongrade.bench;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.kohsuke.args4j.CmdLineParser;
import org.wigeongrade.proof.LoopbackPorts;
import org.wigeongrade.standin.EngineStandin;

/** Tests load runs against one engine stand-in in the same process. */
final class LoadRunTest {
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static String address;
    private static EngineStandin engine;

    @BeforeAll
    static void startEngine() throws Exception {
        address = "127.0.0.1:" + LoopbackPorts.allocate();
        EngineStandin.Options options = new EngineStandin.Options();
        new CmdLineParser(options)
                .parseArgument(
                        "--vm",
                        "vm-1",
                        "--listen",
                        address,
                        "--load-ms",
                        "0",
                        "--cold-requests",
                        "1",
                        "--token-ms",
                        "1",
                        "--capacity",
                        "64",
                        "--cold-capacity",
                        "64",
                        "--down-ms",
                        "100");
        engine = EngineStandin.start(options);
        post("/v1/orders", "{\"order\":\"join\",\"group\":\"g/1\",\"members\":[\"vm-1\"],\"model_version\":\"v\"}");
    }

    @AfterAll
    static void stopEngine() throws Exception {
        engine.close();
    }

    @ParameterizedTest
    @EnumSource(Workload.class)
    void receivesCompleteAndCorrectResponses(Workload workload) throws Exception {
        setFaults("{}");

        assertThat(run(workload).codes()).containsExactly(CallResult.OK, 20L);
    }

    @ParameterizedTest(name = "{0} with fault {1} gives code {2}")
    @CsvSource({
        "CHAT_STREAM, cut_short_ratio, no_answer",
        "CHAT, drop_answers_ratio, no_answer",
        "COMPLETION, refuse_ratio, fault_switch",
    })
    void countsFailedRequestsByCode(Workload workload, String fault, String code) throws Exception {
        setFaults("{\"" + fault + "\":1.0}");

        assertThat(run(workload).codes()).isEqualTo(Map.of(code, 20L));
    }

    @Test
    void measuresLatencyFromTheScheduledStart() throws Exception {
        setFaults("{\"delay_ms\":300}");

        assertThat(run(Workload.CHAT).latencyMicros().getMinValue()).isAtLeast(300_000);
    }

    private static LoadResult run(Workload workload) {
        LoadPlan plan =
                new LoadPlan(List.of(address), workload, "m", List.of("key"), 200, 1_000, 20, 32, 3, 0, 0, 5_000, 7);
        return new LoadRun(plan, new ModelClient(HTTP)).run();
    }

    private static void setFaults(String json) throws Exception {
        post("/standin/faults", json);
    }

    private static void post(String path, String json) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build();
        assertThat(HTTP.send(request, HttpResponse.BodyHandlers.ofString()).statusCode())
                .isEqualTo(200);
    }
}
