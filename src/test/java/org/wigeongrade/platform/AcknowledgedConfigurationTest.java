package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what entry nodes have in force when an operator's change is acknowledged. */
final class AcknowledgedConfigurationTest {
    private static final int ENDPOINTS = 2;
    private static final int CHANGES = 6;
    private static final int OK = 200;
    private static final int INVALID = 400;
    /** Routes for each entry node; the document has 1.4 MB. */
    private static final int ROUTES_OF_TOO_LARGE_CONFIGURATION = 4_500;

    private static final String ZONE_OF_ENDPOINTS = "zone-a";

    @TempDir
    private Path folder;

    /** Guards against an acknowledgement before the entry nodes know the route: without control, they never learn it. */
    @Test
    void everyEntryNodeServesTheAcknowledgedRouteWhenAllControlNodesEnd() throws InterruptedException {
        try (LoopbackFleet fleet =
                new LoopbackFleet(folder, ENDPOINTS, (endpoint, exchange) -> {}, exchange -> false)) {
            for (int change = 1; change <= CHANGES; change++) {
                final String path = "/added" + change + "/";
                final long version = LoopbackFleet.FIRST_VERSION + change;
                LoopbackFleet.await(
                        "version " + version + " acknowledged", () -> fleet.publish(version, List.of(path)) == OK);
                if (change == CHANGES) {
                    fleet.stopControl();
                }
                for (int entry = 0; entry < LoopbackFleet.ENTRIES; entry++) {
                    assertWithMessage("status on the route of change %s at entry node %s", change, entry)
                            .that(fleet.send(entry, path, "added-" + change + "-" + entry, "5a5a:40,1:300")
                                    .join())
                            .isEqualTo(OK);
                }
            }
        }
    }

    /** Guards against an operator who is told for ever to send a configuration again that the log cannot hold. */
    @Test
    void configurationThatTheLogCannotHoldIsInvalid() {
        try (LoopbackFleet fleet =
                new LoopbackFleet(folder, ENDPOINTS, (endpoint, exchange) -> {}, exchange -> false)) {
            final List<String> paths = IntStream.range(0, ROUTES_OF_TOO_LARGE_CONFIGURATION)
                    .mapToObj(number -> "/many" + number + "/")
                    .toList();
            assertWithMessage("status of the large configuration")
                    .that(fleet.publish(LoopbackFleet.FIRST_VERSION + 1, paths))
                    .isEqualTo(INVALID);
            LoopbackFleet.await(
                    "the next one acknowledged", () -> fleet.publish(LoopbackFleet.FIRST_VERSION + 2, List.of()) == OK);
        }
    }

    /** Guards against requests to a zone after its end of service was acknowledged and the control nodes ended. */
    @Test
    void noEntryNodeSendsToAZoneWhoseEndOfServiceWasAcknowledged() throws InterruptedException {
        try (LoopbackFleet fleet =
                new LoopbackFleet(folder, ENDPOINTS, (endpoint, exchange) -> {}, exchange -> false)) {
            LoopbackFleet.await("the order acknowledged", () -> fleet.takeOut(ZONE_OF_ENDPOINTS) == OK);
            fleet.stopControl();
            for (int entry = 0; entry < LoopbackFleet.ENTRIES; entry++) {
                assertWithMessage("status at entry node %s", entry)
                        .that(fleet.send(entry, "5a5a:40,1:300").join())
                        .isNotEqualTo(OK);
            }
        }
    }
}
