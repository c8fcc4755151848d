package org.wigeongrade.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import org.wigeongrade.decisions.routing.RoutingPolicy;

/**
 * Measures each routing policy under the same load in virtual time and prints one line of JSON for each run. Arguments:
 * seed, virtual seconds.
 */
public final class RoutingBench {
    private static final double[] LOAD_FACTORS = {0.5, 0.8, 1.0};

    private RoutingBench() {}

    public static void main(String[] args) throws JsonProcessingException {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        int virtualSeconds = args.length > 1 ? Integer.parseInt(args[1]) : 120;
        ObjectMapper json = new ObjectMapper();
        PrintStream out = System.out;
        for (double loadFactor : LOAD_FACTORS) {
            for (RoutingPolicy policy : RoutingPolicy.values()) {
                out.println(
                        json.writeValueAsString(new RoutingSimulation(policy, loadFactor, seed).run(virtualSeconds)));
            }
        }
    }
}
