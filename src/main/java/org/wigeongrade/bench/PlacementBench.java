package org.wigeongrade.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.wigeongrade.decisions.config.PlacementObjective;
import org.wigeongrade.decisions.placement.PlacementPlanner;

/**
 * Measures group downtime and stranded accelerators under VM failures in virtual time, for both placement objectives
 * and a first-fit baseline, and prints one JSON line for each run. Equal seeds give equal lines. Not thread-safe.
 */
public final class PlacementBench {
    @Option(name = "--failures", usage = "number of VM failures in each run")
    private int failures = 200;

    @Option(name = "--seed", usage = "seed of the failure schedule")
    private long seed = 1;

    @Option(name = "--replicas", usage = "number of declared replicas in each run")
    private int replicas = 50;

    @Option(
            name = "--spares",
            usage = "number of warm spares in each availability zone, in the group_downtime run only")
    private int spares = 4;

    private PlacementBench() {}

    /** Runs the benchmark and prints its results. */
    public static void main(String[] args) throws CmdLineException, JsonProcessingException {
        final PlacementBench bench = new PlacementBench();
        new CmdLineParser(bench).parseArgument(args);
        final ObjectMapper mapper = new ObjectMapper();
        for (final PlacementResult result : bench.run()) {
            System.out.println(mapper.writeValueAsString(result));
        }
    }

    private List<PlacementResult> run() {
        final FailureSchedule schedule = FailureSchedule.random(seed, failures, PlacementRun.VMS);
        final List<PlacementResult> results = new ArrayList<>();
        results.add(PlacementRun.run(
                "group_downtime",
                replicas,
                PlacementObjective.GROUP_DOWNTIME,
                spares,
                schedule,
                PlacementPlanner::plan));
        results.add(PlacementRun.run(
                "stranded_accelerators",
                replicas,
                PlacementObjective.STRANDED_ACCELERATORS,
                0,
                schedule,
                PlacementPlanner::plan));
        results.add(PlacementRun.run(
                "first_fit_in_zone",
                replicas,
                PlacementObjective.STRANDED_ACCELERATORS,
                0,
                schedule,
                FirstFitPlanner::plan));
        return results;
    }
}
