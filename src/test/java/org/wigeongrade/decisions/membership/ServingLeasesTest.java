package org.wigeongrade.decisions.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_1;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_2;
import static org.wigeongrade.decisions.TestDeclaredSets.ZONE_A;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

final class ServingLeasesTest {
    private static final FencingToken TOKEN = new FencingToken(2, 5);
    private static final FormedGroup GROUP = new FormedGroup(
            GroupName.of("guide/1"),
            GUIDE,
            GUIDE_1,
            ZONE_A,
            FabricDomain.of("d1"),
            List.of(vm("v1", 1), vm("v2", 1)),
            TOKEN,
            "group_wanted",
            0);

    private final AnnouncementTable table = new AnnouncementTable();

    /** Returns the reason why the group may not serve, with the second member's announcement that causes it. */
    static Stream<Arguments> secondMembers() {
        return Stream.of(
                Arguments.of(
                        "member_restarted", secondMember(2, 1, TOKEN, "guide/1", GUIDE_1, EndpointState.WARM, 200)),
                Arguments.of("member_missing", secondMember(1, 1, TOKEN, "guide/1", GUIDE_1, EndpointState.WARM, 100)),
                Arguments.of(
                        "order_not_followed",
                        secondMember(1, 1, new FencingToken(2, 4), "guide/1", GUIDE_1, EndpointState.WARM, 200)),
                Arguments.of(
                        "order_not_followed", secondMember(1, 1, TOKEN, "guide/2", GUIDE_1, EndpointState.WARM, 200)),
                Arguments.of("order_not_followed", secondMember(1, 1, TOKEN, null, GUIDE_1, EndpointState.IDLE, 200)),
                Arguments.of(
                        "member_loading", secondMember(1, 1, TOKEN, "guide/1", GUIDE_1, EndpointState.LOADING, 200)),
                Arguments.of(
                        "member_leaving", secondMember(1, 1, TOKEN, "guide/1", GUIDE_1, EndpointState.LEAVING, 200)),
                Arguments.of(
                        "member_not_serving", secondMember(1, 1, TOKEN, "guide/1", GUIDE_1, EndpointState.IDLE, 200)),
                Arguments.of(
                        "wrong_model_version", secondMember(1, 1, TOKEN, "guide/1", GUIDE_2, EndpointState.WARM, 200)));
    }

    @ParameterizedTest
    @MethodSource("secondMembers")
    void groupMayNotServeBecauseOfSecondMember(String reason, Announcement second) {
        table.record(firstMember(500));
        table.record(second);

        final ServingLease lease = ServingLeases.of(GROUP, Map.of(), table, 100);

        assertThat(((ServingLease.Refused) lease).reason().code()).isEqualTo(reason);
        assertThat(((ServingLease.Refused) lease).member()).hasValue(VmName.of("v2"));
    }

    @Test
    void leaseEndsWithTheEarliestMemberLease() {
        table.record(firstMember(500));
        table.record(secondMember(1, 1, new FencingToken(3, 1), "guide/1", GUIDE_1, EndpointState.COLD, 200));

        assertThat(ServingLeases.of(GROUP, Map.of(), table, 100)).isEqualTo(new ServingLease.Serving(200, true));
        assertThat(ServingLeases.servingDeadlineNanos(GROUP, Map.of(), table, 200))
                .isEmpty();
    }

    @Test
    void groupInAZoneThatIsOutMayNotServe() {
        table.record(firstMember(500));
        table.record(secondMember(1, 1, TOKEN, "guide/1", GUIDE_1, EndpointState.WARM, 200));

        final ServingLease lease = ServingLeases.of(GROUP, Map.of(ZONE_A, ZoneState.OUT), table, 100);

        assertThat(((ServingLease.Refused) lease).reason()).isEqualTo(NotServingReason.ZONE_OUT);
    }

    /**
     * Returns incarnations and sequences of announcements that must not replace one of incarnation 2 with sequence 5.
     */
    static Stream<Arguments> late() {
        return Stream.of(Arguments.of(1, 9), Arguments.of(2, 4), Arguments.of(2, 5));
    }

    @ParameterizedTest
    @MethodSource("late")
    void lateAnnouncementIsIgnored(long incarnation, long sequence) {
        table.record(secondMember(2, 5, TOKEN, "guide/1", GUIDE_1, EndpointState.LEAVING, 200));

        assertThat(table.record(
                        secondMember(incarnation, sequence, TOKEN, "guide/1", GUIDE_1, EndpointState.WARM, 900)))
                .isFalse();
        assertThat(table.live(VmName.of("v2"), 100).orElseThrow().state()).isEqualTo(EndpointState.LEAVING);
        assertThat(table.live(VmName.of("v2"), 200)).isEmpty();
    }

    @Test
    void expiredAnnouncementStillHidesOlderOnesUntilItIsRemoved() {
        table.record(secondMember(2, 5, TOKEN, "guide/1", GUIDE_1, EndpointState.WARM, 200));

        table.expire(200 + AnnouncementTable.KEEP_EXPIRED_NANOS);
        assertThat(table.record(secondMember(1, 9, TOKEN, "guide/1", GUIDE_1, EndpointState.WARM, 900)))
                .isFalse();
        table.expire(201 + AnnouncementTable.KEEP_EXPIRED_NANOS);
        assertThat(table.record(secondMember(1, 9, TOKEN, "guide/1", GUIDE_1, EndpointState.WARM, 900)))
                .isTrue();
    }

    @Test
    void plainServiceServesAloneUnlessLeavingOrInAZoneThatIsOut() {
        final Announcement warm = secondMember(1, 1, TOKEN, null, null, EndpointState.WARM, 200);
        final Announcement leaving = secondMember(1, 2, TOKEN, null, null, EndpointState.LEAVING, 200);

        assertThat(ServingLeases.ofService(warm, Map.of()).deadlineNanos()).hasValue(200);
        assertThat(ServingLeases.ofService(leaving, Map.of()).deadlineNanos()).isEmpty();
        assertThat(ServingLeases.ofService(warm, Map.of(ZONE_A, ZoneState.OUT)).deadlineNanos())
                .isEmpty();
    }

    private static VmIncarnation vm(String name, long incarnation) {
        return new VmIncarnation(VmName.of(name), incarnation);
    }

    private static Announcement firstMember(long leaseDeadlineNanos) {
        return announcement(vm("v1", 1), 1, TOKEN, "guide/1", GUIDE_1, EndpointState.WARM, leaseDeadlineNanos);
    }

    private static Announcement secondMember(
            long incarnation,
            long sequence,
            FencingToken token,
            String group,
            ModelVersionName version,
            EndpointState state,
            long leaseDeadlineNanos) {
        return announcement(vm("v2", incarnation), sequence, token, group, version, state, leaseDeadlineNanos);
    }

    private static Announcement announcement(
            VmIncarnation vm,
            long sequence,
            FencingToken token,
            String group,
            ModelVersionName version,
            EndpointState state,
            long leaseDeadlineNanos) {
        return new Announcement(
                vm,
                "127.0.0.1:1",
                ZONE_A,
                FabricDomain.of("d1"),
                8,
                EndpointKind.ENGINE,
                Optional.empty(),
                Optional.ofNullable(group).map(GroupName::of),
                token,
                Optional.ofNullable(version),
                state,
                0,
                0,
                sequence,
                leaseDeadlineNanos);
    }
}
