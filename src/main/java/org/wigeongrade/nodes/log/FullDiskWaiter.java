package org.wigeongrade.nodes.log;

import com.google.common.util.concurrent.Uninterruptibles;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.disk.FullDiskPolicy;

/**
 * Keeps a replica waiting while its disk is full, so that it goes on once there is space again. Thread safe.
 *
 * <p>Invariant: one log record is written per {@link #RECORD_INTERVAL_NANOS} at most.
 */
final class FullDiskWaiter implements FullDiskPolicy {
    private static final System.Logger LOGGER = System.getLogger(FullDiskWaiter.class.getName());
    private static final long RECORD_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long STARTUP_INTERVAL_MS = 100;

    private volatile Optional<RaftReplicatedLog> log = Optional.empty();
    private long nextRecordNanos = System.nanoTime();

    /** Sets the replica that waits; until then, it is the start of the process that waits. */
    void connect(RaftReplicatedLog replica) {
        log = Optional.of(replica);
    }

    @Override
    public boolean shouldRepeat(String message) {
        record(message);
        if (log.isPresent()) {
            return log.get().waitForDiskSpace();
        }
        Uninterruptibles.sleepUninterruptibly(STARTUP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return true;
    }

    private synchronized void record(String message) {
        final long nowNanos = System.nanoTime();
        if (nowNanos - nextRecordNanos >= 0) {
            nextRecordNanos = nowNanos + RECORD_INTERVAL_NANOS;
            LOGGER.log(Level.WARNING, "this VM takes part in no change until its disk has space: {0}", message);
        }
    }
}
