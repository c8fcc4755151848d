package org.wigeongrade.decisions.grouping;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

final class InheritedGroupsTest {
    private static final ModelVersionName MODEL = ModelVersionName.of("large");
    private static final long MAX_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** A group that only a lost VM has reported must not keep the leader from forming another one. */
    @ParameterizedTest
    @CsvSource({"0, 1", "2900, 1", "3100, 0", "20000, 0"})
    void onlyVmsWithRecentHeartbeatsKeepGroupPending(long silentMs, int pending) {
        final long nowNanos = TimeUnit.SECONDS.toNanos(100);
        final VmRecord lost =
                new VmRecord(heartbeat(), nowNanos - TimeUnit.MILLISECONDS.toNanos(silentMs), 0, false, false, false);

        assertThat(new InheritedGroups().countPending(MODEL, List.of(lost), MAX_SILENCE_NANOS, nowNanos))
                .isEqualTo(pending);
    }

    private static VmHeartbeat heartbeat() {
        return new VmHeartbeat(
                new VmIncarnation(VmName.of("vm"), 1),
                1,
                ServiceName.of("pool"),
                "10.0.0.1:80",
                AvailabilityZone.of("zone"),
                "v1",
                18,
                false,
                0,
                Optional.empty(),
                Set.of(MODEL),
                Optional.of(MODEL),
                Optional.of(new GroupReport(GroupName.of("g1"), 1, 1, GroupState.READY)));
    }
}
