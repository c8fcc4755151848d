package org.wigeongrade.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.ControlCodec;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.control.StoredResponse;
import org.wigeongrade.decisions.placement.PlacementInput;
import org.wigeongrade.decisions.placement.PlacementPlanner;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.RequestId;

/**
 * Measures how the cost of the control state and of the planner grows with the number of groups and claims, and prints
 * one JSON line. Not thread-safe.
 */
public final class ControlStateBench {
    private static final int WARM_UP_ROUNDS = 50;
    private static final int ROUNDS = 100;
    private static final int RESPONSE_BYTES = 500;
    private static final double NANOS_PER_MICRO = 1_000;

    @Option(name = "--groups", usage = "number of groups, at most 600")
    private int groups = 600;

    @Option(name = "--claims", usage = "number of finished claims")
    private int claims = 5_000;

    private ControlStateBench() {}

    /** Result of one run; times are means in microseconds of processor time on one thread. */
    public record Result(
            int groups,
            int vms,
            int claims,
            int snapshotBytes,
            double snapshotMicros,
            double planMicros,
            double claimMicros) {}

    /** Runs the benchmark and prints its result. */
    public static void main(String[] args) throws CmdLineException, JsonProcessingException {
        final ControlStateBench bench = new ControlStateBench();
        new CmdLineParser(bench).parseArgument(args);
        System.out.println(new ObjectMapper().writeValueAsString(bench.run()));
    }

    private Result run() {
        final VirtualFleet fleet = PlacementRun.formedFleet(groups);
        final double claimMicros = claimAndFinish(fleet.state());
        final PlacementInput input = PlacementInput.of(
                fleet.state(), fleet.announcements(), 1, fleet.nowNanos(), fleet.nowNanos() / 1_000_000, 0, 0);
        final double planMicros = meanMicros(() -> PlacementPlanner.plan(input).size());
        final double snapshotMicros =
                meanMicros(() -> ControlCodec.encode(fleet.state().snapshot()).length);
        return new Result(
                fleet.state().groups().size(),
                fleet.vms().size(),
                claims,
                ControlCodec.encode(fleet.state().snapshot()).length,
                snapshotMicros,
                planMicros,
                claimMicros);
    }

    /**
     * Claims and finishes each request; returns the mean time for both commands, including their encoding and decoding.
     */
    private double claimAndFinish(ControlState state) {
        final List<byte[]> commands = new ArrayList<>();
        for (int i = 0; i < claims; i++) {
            commands.add(ControlCodec.encode(claimCommand(i)));
            commands.add(ControlCodec.encode(finishCommand(i)));
        }
        final long startNanos = System.nanoTime();
        long index = state.appliedIndex();
        for (final byte[] command : commands) {
            index++;
            ControlCodec.encode(state.apply(index, ControlCodec.decodeCommand(command)));
        }
        return claims == 0 ? 0 : (System.nanoTime() - startNanos) / NANOS_PER_MICRO / claims;
    }

    private static Command claimCommand(int number) {
        return new Command.ClaimRequest(
                OrganisationName.of("organisation-" + number % 10),
                "key-" + number,
                "ab".repeat(32),
                RequestId.of("request-" + number),
                NodeName.of("entry-1"),
                5_000,
                1);
    }

    private static Command finishCommand(int number) {
        return new Command.FinishClaim(
                OrganisationName.of("organisation-" + number % 10),
                "key-" + number,
                RequestId.of("request-" + number),
                RunStatus.COMPLETED,
                new StoredResponse(200, "application/json", new byte[RESPONSE_BYTES]),
                2);
    }

    /** An operation whose time is measured. */
    private interface MeasuredOperation {
        /** Runs the operation once and returns the size of its result. */
        int run();
    }

    private static double meanMicros(MeasuredOperation operation) {
        long totalSize = 0;
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            totalSize += operation.run();
        }
        final long startNanos = System.nanoTime();
        for (int round = 0; round < ROUNDS; round++) {
            totalSize += operation.run();
        }
        final long elapsedNanos = System.nanoTime() - startNanos;
        if (totalSize < 0) {
            throw new IllegalStateException("the total size of the results is negative");
        }
        return elapsedNanos / NANOS_PER_MICRO / ROUNDS;
    }
}
