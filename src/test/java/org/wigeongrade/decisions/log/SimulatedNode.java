package org.wigeongrade.decisions.log;

import java.util.Optional;
import java.util.Random;
import org.wigeongrade.ids.NodeName;

/** Replica of a simulated cluster, with its own disk and clock. Not thread safe. */
final class SimulatedNode {
    private static final double CLOCK_RATE_SPREAD = 0.02;

    final NodeName name;
    private final double clockRate;
    long clockOffsetNanos;
    SimulatedDisk disk;
    Optional<RaftCore> core = Optional.empty();
    /** Increases at each boot and crash, so that events of an earlier boot can be recognised and dropped. */
    int bootEpoch;

    long frozenUntilNanos;
    long storesDoneNanos;
    int pendingStores;
    int pendingHardStates;

    SimulatedNode(NodeName name, SimulatedDisk disk, Random random) {
        this.name = name;
        this.disk = disk;
        this.clockRate = 1 + CLOCK_RATE_SPREAD * (2 * random.nextDouble() - 1);
        this.clockOffsetNanos = random.nextInt(1_000_000_000);
    }

    /** Returns the reading of this node's monotonic clock at a point of simulated true time. */
    long clockNanos(long trueNanos) {
        return clockOffsetNanos + (long) (trueNanos * clockRate);
    }

    void boot(CoreSettings settings, Random random, long trueNanos) {
        bootEpoch++;
        pendingStores = 0;
        pendingHardStates = 0;
        storesDoneNanos = trueNanos;
        frozenUntilNanos = trueNanos;
        core = Optional.of(new RaftCore(settings, disk.recovered(), random, clockNanos(trueNanos)));
    }

    void crash() {
        bootEpoch++;
        core = Optional.empty();
    }

    boolean holdsLease(long trueNanos) {
        long localNanos = clockNanos(trueNanos);
        return core.isPresent()
                && core.get().leaseStartNanos(localNanos).stream()
                        .anyMatch(start -> localNanos - start < LogTimings.DEFAULT.leaseNanos());
    }
}
