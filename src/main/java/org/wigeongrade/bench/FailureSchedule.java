package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** VM failures in the order of their times. Immutable; safe for use from any thread. */
public record FailureSchedule(List<Failure> failures) {
    private static final double MEAN_GAP_SECONDS = 300;
    private static final double MEAN_RESTART_SECONDS = 600;
    private static final int SHORTEST_PAUSE_SECONDS = 4;
    private static final int PAUSE_RANGE_SECONDS = 20;
    private static final int PAUSES_IN_TEN = 3;
    private static final int FAILURES_FOR_ONE_DOMAIN = 40;

    public FailureSchedule {
        failures = failures.stream()
                .sorted(Comparator.comparingLong(Failure::atSeconds).thenComparingInt(Failure::vm))
                .toList();
    }

    /** Kinds of failure. Immutable; safe for use from any thread. */
    public enum Kind {
        /** The VM is silent and goes on as the same process. */
        PAUSE,
        /** The VM comes back as a new process. */
        RESTART,
        /** Every VM of the fabric domain comes back as a new process. */
        DOMAIN_RESTART;

        /** Returns whether the failure hits every VM of the fabric domain. */
        boolean hitsDomain() {
            return this == DOMAIN_RESTART;
        }

        /** Brings a VM back. */
        void end(VirtualVm vm) {
            if (this == PAUSE) {
                vm.resume();
            } else {
                vm.restart();
            }
        }
    }

    /** One failure of the VM with that number, from {@code atSeconds} until {@code endSeconds}. */
    public record Failure(Kind kind, int vm, long atSeconds, long endSeconds) {}

    /** Returns a schedule that depends on the seed alone. */
    public static FailureSchedule random(long seed, int count, int vms) {
        final Random random = new Random(seed);
        final List<Failure> failures = new ArrayList<>();
        double atSeconds = PlacementRun.WARM_UP_SECONDS;
        for (int i = 1; i <= count; i++) {
            atSeconds += exponential(random, MEAN_GAP_SECONDS);
            failures.add(failure(kind(random, i), random, (long) atSeconds, random.nextInt(vms)));
        }
        return new FailureSchedule(failures);
    }

    private static Kind kind(Random random, int number) {
        final boolean pause = random.nextInt(10) < PAUSES_IN_TEN;
        if (number % FAILURES_FOR_ONE_DOMAIN == 0) {
            return Kind.DOMAIN_RESTART;
        }
        return pause ? Kind.PAUSE : Kind.RESTART;
    }

    private static Failure failure(Kind kind, Random random, long atSeconds, int vm) {
        final long pauseSeconds = (long) SHORTEST_PAUSE_SECONDS + random.nextInt(PAUSE_RANGE_SECONDS);
        final long restartSeconds = 1 + (long) exponential(random, MEAN_RESTART_SECONDS);
        final long lengthSeconds = kind == Kind.PAUSE ? pauseSeconds : restartSeconds;
        return new Failure(kind, vm, atSeconds, atSeconds + lengthSeconds);
    }

    private static double exponential(Random random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Returns when the last failure has ended. */
    public long endSeconds() {
        return failures.stream().mapToLong(Failure::endSeconds).max().orElse(0);
    }
}
