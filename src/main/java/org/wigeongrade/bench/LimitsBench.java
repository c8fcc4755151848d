package org.wigeongrade.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.Map;

/**
 * Measures shares, the retry budget and fairness between organisations against baselines in virtual time, and prints
 * one line of JSON for each result. Arguments: first seed, number of seeds, virtual seconds.
 */
public final class LimitsBench {
    private static final double[] LOAD_FACTORS = {0.5, 1.0, 1.5, 2.0};

    private final ObjectMapper json = new ObjectMapper();
    private final PrintStream out = System.out;
    private final long firstSeed;
    private final int seedCount;
    private final int virtualSeconds;

    private LimitsBench(long firstSeed, int seedCount, int virtualSeconds) {
        this.firstSeed = firstSeed;
        this.seedCount = seedCount;
        this.virtualSeconds = virtualSeconds;
    }

    public static void main(String[] args) throws JsonProcessingException {
        long firstSeed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        int seedCount = args.length > 1 ? Integer.parseInt(args[1]) : 20;
        int virtualSeconds = args.length > 2 ? Integer.parseInt(args[2]) : 120;
        LimitsBench bench = new LimitsBench(firstSeed, seedCount, virtualSeconds);
        bench.runOverload();
        bench.runFairness();
        bench.runShares("steady", 0, 0);
        bench.runShares("cold starts", 0, 10_000);
        bench.runShares("faults and cold starts", 5_000, 10_000);
    }

    private void runOverload() throws JsonProcessingException {
        for (double loadFactor : LOAD_FACTORS) {
            for (OverloadMechanism mechanism : OverloadMechanism.values()) {
                print(new OverloadSimulation(mechanism, loadFactor, firstSeed).run(virtualSeconds));
            }
        }
    }

    private void runFairness() throws JsonProcessingException {
        for (FairnessMechanism mechanism : FairnessMechanism.values()) {
            print(new FairnessSimulation(mechanism, firstSeed).run(virtualSeconds));
        }
    }

    private void runShares(String name, long meanFaultIntervalMs, long meanColdStartIntervalMs)
            throws JsonProcessingException {
        for (ShareMechanism mechanism : ShareMechanism.values()) {
            ShareResult total = ShareResult.NONE;
            for (int i = 0; i < seedCount; i++) {
                total = total.plus(ShareSimulation.run(new ShareScenario(
                        firstSeed + i,
                        mechanism,
                        7,
                        5,
                        10,
                        2,
                        1.5,
                        i % 2 == 0,
                        meanFaultIntervalMs,
                        meanColdStartIntervalMs,
                        virtualSeconds)));
            }
            print(Map.of("scenario", name, "mechanism", mechanism.name(), "result", total));
        }
    }

    private void print(Object result) throws JsonProcessingException {
        out.println(json.writeValueAsString(result));
    }
}
