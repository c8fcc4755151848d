package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.reachability.LinkState;
import org.wigeongrade.fleet.thrift.CrashRecord;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.fleet.thrift.UsageRecord;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests that a view neither brings back an endpoint that leaves nor ends the pause that an endpoint asked for. */
final class EndpointRegistryTest {
    private static final ServiceName SERVICE = ServiceName.of("app");
    private static final long MAX_PAUSE_MS = 5_000;

    private final EndpointRegistry registry =
            new EndpointRegistry(new EventLog(), new Metrics(), MAX_PAUSE_MS, 1_200, new LeaseTime(0), 0);
    private long changeNumber;
    private long term = 1;

    @ParameterizedTest
    @CsvSource({
        // incarnation that the later view lists, whether it gets requests
        "1, false",
        "2, true",
    })
    void leavingEndpointIsNotBroughtBackByAView(long listedIncarnation, boolean routable) {
        show(endpoint("a", 1), endpoint("b", 1));
        registry.recordLeaving(find("a").orElseThrow());
        assertThat(find("a")).isEmpty();

        show(endpoint("b", 1));
        show(endpoint("a", listedIncarnation), endpoint("b", 1));

        assertThat(find("a").isPresent()).isEqualTo(routable);
        assertThat(find("b")).isPresent();
    }

    @Test
    void leaderIsToldOfALeavingEndpointInEveryReport() {
        show(endpoint("a", 1));
        registry.recordLeaving(find("a").orElseThrow());
        final long longAfterNanos = TimeUnit.SECONDS.toNanos(30);

        for (int report = 0; report < 2; report++) {
            assertThat(registry.drainUsage(longAfterNanos).stream()
                            .filter(UsageRecord::isLeaving)
                            .map(UsageRecord::getVm))
                    .containsExactly("a");
        }
    }

    @ParameterizedTest
    @CsvSource({
        // requested pause, time at which it is read, remaining pause
        "2000, 500, 1500",
        "2000, 2000, 0",
        "600000, 1000, 4000",
    })
    void pauseOutlivesAViewWithoutTheEndpoint(long requestedMs, long atMs, long leftMs) {
        show(endpoint("a", 1));
        registry.recordPause(find("a").orElseThrow(), requestedMs, 0);
        registry.recordPause(find("a").orElseThrow(), 1, 0);
        show(endpoint("b", 1));
        show(endpoint("a", 1));

        assertThat(TimeUnit.NANOSECONDS.toMillis(
                        find("a").orElseThrow().restriction().pausedForNanos(TimeUnit.MILLISECONDS.toNanos(atMs))))
                .isEqualTo(leftMs);
    }

    /** Losses that a node saw while it took its links for cut were dropped, though the endpoints had crashed. */
    @ParameterizedTest
    @CsvSource({
        // states of the links before and after the loss, how many losses the next pull reports, whether they are
        // doubted
        "WORKING, WORKING, 1, false",
        "WORKING, IN_DOUBT, 0, false",
        "WORKING, CUT, 1, true",
        "IN_DOUBT, WORKING, 1, false",
        "IN_DOUBT, CUT, 1, true",
        "CUT, CUT, 1, true",
        "CUT, WORKING, 1, true",
    })
    void everyLossIsReportedWithTheStateOfTheLinks(LinkState before, LinkState after, int reported, boolean doubted) {
        show(endpoint("a", 1));
        registry.setLinkState(before);
        registry.recordCrash("digest", ImmutableSet.of(), find("a").orElseThrow(), TimeUnit.MILLISECONDS.toNanos(100));
        registry.setLinkState(after);

        final List<CrashRecord> crashes = registry.unreportedCrashes(TimeUnit.MILLISECONDS.toNanos(350));
        assertThat(crashes).hasSize(reported);
        assertThat(crashes.stream().allMatch(crash -> crash.isLinksDoubted() == doubted && crash.getAgeMs() == 250))
                .isTrue();
    }

    /** A new leader counted from the start, since a loss was reported once only. */
    @Test
    void lossIsReportedUntilALeaderHasItAndAgainToTheNextLeader() {
        show(endpoint("a", 1));
        registry.recordCrash("digest", ImmutableSet.of(), find("a").orElseThrow(), 0);
        assertThat(registry.unreportedCrashes(0)).hasSize(1);
        assertThat(registry.unreportedCrashes(0)).hasSize(1);
        show(endpoint("a", 1));
        assertThat(registry.unreportedCrashes(0)).isEmpty();
        term++;
        show(endpoint("a", 1));
        assertThat(registry.unreportedCrashes(0)).hasSize(1);
        show(endpoint("a", 1));
        assertThat(registry.unreportedCrashes(0)).isEmpty();
    }

    @Test
    void lossesThatWaitForALeaderAreLimited() {
        show(endpoint("a", 1));
        for (int i = 0; i < CrashReports.MAX_UNREPORTED + 10; i++) {
            registry.recordCrash("digest-" + i, ImmutableSet.of(), find("a").orElseThrow(), 0);
        }
        final List<CrashRecord> crashes = registry.unreportedCrashes(0);
        assertThat(crashes).hasSize(CrashReports.MAX_UNREPORTED);
        assertThat(crashes.get(0).getRequestDigest()).isEqualTo("digest-10");
    }

    private Optional<EndpointLoad> find(String vm) {
        return registry.candidates(SERVICE, Optional.empty(), 0).stream()
                .filter(load -> load.vm().vm().equals(VmName.of(vm)))
                .findFirst();
    }

    private void show(RoutableRecord... endpoints) {
        changeNumber++;
        registry.apply(
                new EntryView(
                        Optional.empty(),
                        Set.of(),
                        Arrays.stream(endpoints)
                                .collect(ImmutableMap.toImmutableMap(
                                        endpoint -> VmName.of(endpoint.getVm()), endpoint -> endpoint)),
                        Map.of(),
                        Map.of(),
                        List.of(),
                        List.of(),
                        Set.of(),
                        1,
                        List.of(),
                        term,
                        changeNumber,
                        new LeaseTime(0),
                        0),
                0);
    }

    private static RoutableRecord endpoint(String vm, long incarnation) {
        return new RoutableRecord()
                .setVm(vm)
                .setIncarnation(incarnation)
                .setServiceName(SERVICE.value())
                .setAddress("127.0.0.1:1")
                .setAvailabilityZone("zone-a")
                .setModel("")
                .setSlots(4)
                .setPaceFactor(1);
    }
}
