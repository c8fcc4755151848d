package org.wigeongrade.decisions.log;

import java.util.Optional;
import java.util.Random;
import org.wigeongrade.ids.NodeName;

/** One replica of a simulated cluster with its disk and its own clock. Not thread safe. */
final class SimulatedNode {
    private static final double CLOCK_RATE_SPREAD = 0.02;

    final NodeName name;
    private final double clockRate;
    long clockOffsetNanos;
    SimulatedDisk disk;
    Optional<RaftCore> core = Optional.empty();
    /** Counts starts, so that what belongs to an earlier start is dropped. */
    int start;

    long frozenUntilNanos;
    long storesDoneNanos;
    int openStores;
    int openHardStates;

    SimulatedNode(NodeName name, SimulatedDisk disk, Random random) {
        this.name = name;
        this.disk = disk;
        this.clockRate = 1 + CLOCK_RATE_SPREAD * (2 * random.nextDouble() - 1);
        this.clockOffsetNanos = random.nextInt(1_000_000_000);
    }

    /** Returns what this node's monotonic clock shows at a true time. */
    long clockNanos(long trueNanos) {
        return clockOffsetNanos + (long) (trueNanos * clockRate);
    }

    void boot(CoreSettings settings, Random random, long trueNanos) {
        start++;
        openStores = 0;
        openHardStates = 0;
        storesDoneNanos = trueNanos;
        frozenUntilNanos = trueNanos;
        core = Optional.of(new RaftCore(settings, disk.recovered(), random, clockNanos(trueNanos)));
    }

    void crash() {
        start++;
        core = Optional.empty();
    }

    boolean holdsLease(long trueNanos) {
        long ownNanos = clockNanos(trueNanos);
        return core.isPresent()
                && core.get().leaseDeadlineNanos(ownNanos).stream().anyMatch(deadline -> ownNanos - deadline < 0);
    }
}
