package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** VM failures ordered by start time. Immutable; safe for use from any thread. */
public record FailureSchedule(List<Failure> failures) {
    private static final double MEAN_INTERVAL_SECONDS = 300;
    private static final double MEAN_RESTART_SECONDS = 600;
    private static final int MIN_PAUSE_SECONDS = 4;
    private static final int PAUSE_RANGE_SECONDS = 20;
    private static final int PAUSES_PER_TEN_FAILURES = 3;
    private static final int FAILURES_PER_DOMAIN_RESTART = 40;

    public FailureSchedule {
        failures = failures.stream()
                .sorted(Comparator.comparingLong(Failure::startSeconds).thenComparingInt(Failure::vmIndex))
                .toList();
    }

    /** Kinds of failure. Immutable; safe for use from any thread. */
    public enum Kind {
        /** The VM stops responding for a while and then continues as the same process. */
        PAUSE,
        /** The VM restarts as a new process. */
        RESTART,
        /** Every VM of the fabric domain restarts as a new process. */
        DOMAIN_RESTART;

        /** Returns whether the failure affects every VM of the fabric domain. */
        boolean affectsWholeDomain() {
            return this == DOMAIN_RESTART;
        }

        /** Ends the failure of a VM: resumes the VM after a pause, otherwise restarts it. */
        void recover(VirtualVm vm) {
            if (this == PAUSE) {
                vm.resume();
            } else {
                vm.restart();
            }
        }
    }

    /** One failure, from {@code startSeconds} until {@code endSeconds}, of the VM at index {@code vmIndex}. */
    public record Failure(Kind kind, int vmIndex, long startSeconds, long endSeconds) {}

    /**
     * Returns a schedule determined by the arguments alone: the same seed, count and number of VMs give the same
     * schedule.
     */
    public static FailureSchedule random(long seed, int count, int vmCount) {
        final Random random = new Random(seed);
        final List<Failure> failures = new ArrayList<>();
        double startSeconds = PlacementRun.WARM_UP_SECONDS;
        for (int i = 1; i <= count; i++) {
            startSeconds += exponential(random, MEAN_INTERVAL_SECONDS);
            failures.add(randomFailure(randomKind(random, i), random, (long) startSeconds, random.nextInt(vmCount)));
        }
        return new FailureSchedule(failures);
    }

    private static Kind randomKind(Random random, int number) {
        final boolean pause = random.nextInt(10) < PAUSES_PER_TEN_FAILURES;
        if (number % FAILURES_PER_DOMAIN_RESTART == 0) {
            return Kind.DOMAIN_RESTART;
        }
        return pause ? Kind.PAUSE : Kind.RESTART;
    }

    private static Failure randomFailure(Kind kind, Random random, long startSeconds, int vmIndex) {
        final long pauseSeconds = (long) MIN_PAUSE_SECONDS + random.nextInt(PAUSE_RANGE_SECONDS);
        final long restartSeconds = 1 + (long) exponential(random, MEAN_RESTART_SECONDS);
        final long durationSeconds = kind == Kind.PAUSE ? pauseSeconds : restartSeconds;
        return new Failure(kind, vmIndex, startSeconds, startSeconds + durationSeconds);
    }

    private static double exponential(Random random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Returns the time at which the last failure ends. */
    public long endSeconds() {
        return failures.stream().mapToLong(Failure::endSeconds).max().orElse(0);
    }
}
