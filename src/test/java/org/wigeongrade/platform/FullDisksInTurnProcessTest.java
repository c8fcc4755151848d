package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.ManagedProcess;

/**
 * The disks of all control VMs are full one after another, never two at once. Changes must be acknowledged while one is
 * full and once all have room again; operators of similar systems saw them refused until the end of the day.
 */
@Tag("process")
final class FullDisksInTurnProcessTest {
    /** Time for the acknowledgement of a change, in milliseconds; a new leader may have to be elected first. */
    private static final long ACKNOWLEDGE_MS = 4_000;

    private static final long PUBLISH_INTERVAL_MS = 200;
    /** Time until a write that was under way has ended, in milliseconds. */
    private static final long SETTLE_MS = 50;

    private static final long CHECKED_AFTERWARDS_MS = 5_000;

    @TempDir
    private Path folder;

    private long version;

    @ParameterizedTest
    @CsvSource({
        // control VMs, losses that they bear, bytes left, time for which each is full, pause until the next one is,
        // rounds
        "5, 2, 0, 2500, 500, 2",
        "5, 2, 10, 4500, 0, 1",
        "3, 1, 10, 4500, 1500, 1",
        // A spare control VM takes the place of a voter that is silent for longer than 3 s.
        "6, 2, 0, 4500, 1500, 1",
    })
    void changesAreAcknowledged(int controls, int lossesBorne, long bytesLeft, long fullMs, long pauseMs, int rounds) {
        try (FleetProcesses nodes = new FleetProcesses(folder, controls, lossesBorne)) {
            nodes.publish(nextConfiguration());
            Await.until("all control VMs are voters", 30_000, () -> nodes.tryPublish(nextConfiguration()));
            for (int round = 0; round < rounds; round++) {
                for (int control = 0; control < controls; control++) {
                    final ManagedProcess process = nodes.process(control);
                    process.fillDisk(bytesLeft == 0 ? 0 : nodes.logBytes(control) + bytesLeft);
                    Await.sleepMs(SETTLE_MS);
                    final long logBytes = nodes.logBytes(control);
                    publishFor(nodes, fullMs, process.name() + " is full");
                    assertThat(nodes.logBytes(control)).isAtMost(logBytes + bytesLeft);
                    process.freeDisk();
                    publishFor(nodes, pauseMs, process.name() + " has room again");
                }
            }
            publishFor(nodes, CHECKED_AFTERWARDS_MS, "all have room again");
            nodes.processes().forEach(process -> assertThat(process.isAlive()).isTrue());
            final long acknowledged = version;
            Await.until(
                    "the latest version is read back",
                    ACKNOWLEDGE_MS,
                    () -> nodes.readVersion()
                            .filter(read -> read == acknowledged)
                            .isPresent());
        }
    }

    /** Publishes one version after another; each must be acknowledged in time. */
    private void publishFor(FleetProcesses nodes, long forMs, String state) {
        final long endNanos = System.nanoTime() + forMs * 1_000_000;
        while (System.nanoTime() - endNanos < 0) {
            final String document = nextConfiguration();
            final long sentNanos = System.nanoTime();
            while (!nodes.tryPublish(document)) {
                assertWithMessage("milliseconds without acknowledgement of version %s while %s", version, state)
                        .that((System.nanoTime() - sentNanos) / 1_000_000)
                        .isLessThan(ACKNOWLEDGE_MS);
                Await.sleepMs(PUBLISH_INTERVAL_MS);
            }
            Await.sleepMs(PUBLISH_INTERVAL_MS);
        }
    }

    private String nextConfiguration() {
        version++;
        return "{\"version\":" + version + ",\"routes\":[],\"services\":[{\"name\":\"ledger\",\"maxConnections\":49}]}";
    }
}
