package org.wigeongrade.bench;

import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * One open-loop run: each request starts at its scheduled time, regardless of whether earlier requests have ended, and
 * its latency is measured from that time. Safe for use from any thread; {@link #run} blocks its caller.
 */
public final class LoadRun {
    private final LoadPlan plan;
    private final ModelClient client;
    private final Semaphore inFlightPermits;
    private final LoadResult result = new LoadResult();

    public LoadRun(LoadPlan plan, ModelClient client) {
        this.plan = plan;
        this.client = client;
        this.inFlightPermits = new Semaphore(plan.maxInFlight());
    }

    /** Sends the requests of the plan and returns when all have ended. */
    public LoadResult run() {
        SplittableRandom random = new SplittableRandom(plan.seed());
        long startNanos = System.nanoTime();
        double periodNanos = TimeUnit.SECONDS.toNanos(1) / plan.requestsPerSecond();
        for (long i = 0; i < plan.requestCount(); i++) {
            long dueNanos = startNanos + (long) (i * periodNanos);
            waitUntil(dueNanos);
            send(i, dueNanos, random);
        }
        inFlightPermits.acquireUninterruptibly(plan.maxInFlight());
        result.setElapsedNanos(System.nanoTime() - startNanos);
        return result;
    }

    private static void waitUntil(long dueNanos) {
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = dueNanos - System.nanoTime();
        }
    }

    private void send(long index, long dueNanos, SplittableRandom random) {
        String operation = "load-" + plan.seed() + "-" + index;
        ModelCall call =
                ModelCall.of(plan.workload(), plan.model(), prompt(operation, random), plan.maxTokens(), operation);
        if (!inFlightPermits.tryAcquire()) {
            result.addNotSent();
            return;
        }
        String target = plan.targets().get((int) (index % plan.targets().size()));
        String key = plan.keys().get((int) (index % plan.keys().size()));
        CompletableFuture<Void> unused = client.send(target, call, key, operation, plan.timeoutMs(), dueNanos)
                .thenAccept(this::recordResult);
    }

    private void recordResult(CallResult callResult) {
        result.add(callResult);
        inFlightPermits.release();
    }

    private String prompt(String operation, SplittableRandom random) {
        String prefix = plan.sharedPrefixes() == 0 ? "" : sharedPrefix(random.nextInt(plan.sharedPrefixes()));
        return prefix + operation;
    }

    private String sharedPrefix(int number) {
        String word = "guideline-" + number + ' ';
        return word.repeat(plan.promptChars() / word.length() + 1).substring(0, plan.promptChars());
    }
}
