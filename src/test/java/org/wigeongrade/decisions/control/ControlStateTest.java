package org.wigeongrade.decisions.control;

import static com.google.common.truth.Truth.assertThat;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_1;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_2;
import static org.wigeongrade.decisions.TestDeclaredSets.ZONE_A;
import static org.wigeongrade.decisions.TestDeclaredSets.ZONE_B;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.decisions.TestDeclaredSets;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ObjectId;
import org.wigeongrade.decisions.config.ObjectKind;
import org.wigeongrade.decisions.outcomes.ClaimTable;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ChangeId;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.PoolName;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.ids.Revision;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

final class ControlStateTest {
    private final ControlState state = new ControlState();
    private long index;

    @BeforeEach
    void declare() {
        apply(change("setup", 0, TestDeclaredSets.valid()));
    }

    @Test
    void resentChangeGetsItsFirstResultAndTakesEffectOnce() {
        final CommandResult first = apply(change("c1", 1, TestDeclaredSets.with(TestDeclaredSets.pool(3, 2))));
        apply(change("c2", 2, TestDeclaredSets.with(TestDeclaredSets.pool(4, 2))));

        assertThat(apply(change("c1", 1, TestDeclaredSets.with(TestDeclaredSets.pool(3, 2)))))
                .isEqualTo(first);
        assertThat(state.declaredSet().pools().get(0).replicas()).isEqualTo(4);
        assertThat(state.revision()).isEqualTo(Revision.of(3));
    }

    @Test
    void conflictingChangeIsRefusedNamingOperatorAndChangedObjects() {
        apply(change("c1", 1, TestDeclaredSets.with(TestDeclaredSets.pool(3, 2))));

        final CommandResult.Refused refused =
                refused(change("c2", 1, TestDeclaredSets.with(TestDeclaredSets.pool(5, 2))));

        assertThat(refused.kind()).isEqualTo(ErrorKind.REVISION_CONFLICT);
        assertThat(refused.message()).contains("morag");
        assertThat(refused.message()).contains("pool 'guide'");
    }

    @Test
    void reusedChangeIdIsRefused() {
        assertThat(refused(change("setup", 0, DeclaredSet.EMPTY)).kind()).isEqualTo(ErrorKind.IDEMPOTENCY_KEY_REUSED);
    }

    @Test
    void invalidSetIsRefusedWithEveryFaultAndChangesNothing() {
        final DeclaredSet faulty = TestDeclaredSets.with(TestDeclaredSets.pool(-1, 0));

        final CommandResult.Refused refused = refused(change("c1", 1, faulty));

        assertThat(refused.kind()).isEqualTo(ErrorKind.INVALID_CONFIGURATION);
        assertThat(refused.message()).contains("replicas");
        assertThat(refused.message()).contains("vms_per_replica");
        assertThat(state.declaredSet()).isEqualTo(TestDeclaredSets.valid());
    }

    @Test
    void zoneThatWasTakenOutStaysOutAcrossLaterSets() {
        apply(zone("z1", ZONE_A, ZoneState.OUT));
        apply(change("c1", 2, DeclaredSet.EMPTY));
        apply(change("c2", 3, TestDeclaredSets.valid()));

        assertThat(state.zoneStates()).containsEntry(ZONE_A, ZoneState.OUT);
        assertThat(state.zoneStates()).containsEntry(ZONE_B, ZoneState.IN);
    }

    @Test
    void resentZoneChangeDoesNotUndoALaterOne() {
        apply(zone("z1", ZONE_A, ZoneState.OUT));
        apply(zone("z2", ZONE_A, ZoneState.IN));
        apply(zone("z1", ZONE_A, ZoneState.OUT));

        assertThat(state.zoneStates()).containsEntry(ZONE_A, ZoneState.IN);
        assertThat(refused(zone("z3", AvailabilityZone.of("zone-x"), ZoneState.OUT))
                        .kind())
                .isEqualTo(ErrorKind.NOT_FOUND);
    }

    static Stream<Arguments> refusedGroups() {
        return Stream.of(
                Arguments.of("pool_not_declared", form("guide/2", "other", GUIDE_1, ZONE_A, 5, vm("v3"), vm("v4"))),
                Arguments.of("group_not_declared", form("guide/3", "guide", GUIDE_1, ZONE_A, 5, vm("v3"), vm("v4"))),
                Arguments.of("group_already_formed", form("guide/1", "guide", GUIDE_1, ZONE_A, 5, vm("v3"), vm("v4"))),
                Arguments.of("wrong_model_version", form("guide/2", "guide", GUIDE_2, ZONE_A, 5, vm("v3"), vm("v4"))),
                Arguments.of("wrong_size", form("guide/2", "guide", GUIDE_1, ZONE_A, 5, vm("v3"))),
                Arguments.of(
                        "wrong_zone",
                        form("guide/2", "guide", GUIDE_1, AvailabilityZone.of("zone-x"), 5, vm("v3"), vm("v4"))),
                Arguments.of("zone_out", form("guide/2", "guide", GUIDE_1, ZONE_B, 5, vm("v3"), vm("v4"))),
                Arguments.of("member_repeated", form("guide/2", "guide", GUIDE_1, ZONE_A, 5, vm("v3"), vm("v3"))),
                Arguments.of(
                        "member_in_another_group", form("guide/2", "guide", GUIDE_1, ZONE_A, 5, vm("v2"), vm("v3"))),
                Arguments.of(
                        "member_in_another_group",
                        form("guide/2", "guide", GUIDE_1, ZONE_A, 5, new VmIncarnation(VmName.of("v2"), 9), vm("v3"))),
                Arguments.of("stale_fencing_token", form("guide/2", "guide", GUIDE_1, ZONE_A, 1, vm("v3"), vm("v4"))));
    }

    @ParameterizedTest
    @MethodSource("refusedGroups")
    void groupIsRefused(String code, Command.FormGroup form) {
        apply(zone("z1", ZONE_B, ZoneState.OUT));
        apply(form("guide/1", "guide", GUIDE_1, ZONE_A, 1, vm("v1"), vm("v2")));

        assertThat(refused(form).message()).contains(code);
        assertThat(state.groups()).hasSize(1);
    }

    @Test
    void dissolveWithATokenOlderThanTheGroupsIsRefused() {
        apply(form("guide/1", "guide", GUIDE_1, ZONE_A, 1, vm("v1"), vm("v2")));
        apply(dissolve(2));
        apply(form("guide/1", "guide", GUIDE_1, ZONE_A, 3, vm("v1"), vm("v3")));

        assertThat(refused(dissolve(2)).message()).contains("stale_fencing_token");
        assertThat(state.groupOf(VmName.of("v1"))).isPresent();
        assertThat(state.groupOf(VmName.of("v2"))).isEmpty();
    }

    @Test
    void decisionsRecordWhatWhyAndWhen() {
        apply(form("guide/1", "guide", GUIDE_1, ZONE_A, 1, vm("v1"), vm("v2")));
        apply(dissolve(2));

        final List<Decision> decisions = state.decisions(ObjectId.of(ObjectKind.VM, "v1"));

        assertThat(decisions.stream().map(Decision::what))
                .containsExactly("joined group 'guide/1'", "freed from group 'guide/1'")
                .inOrder();
        assertThat(decisions.get(1).why()).isEqualTo("member_lost");
        assertThat(decisions.get(1).atEpochMs()).isEqualTo(1_000);
    }

    @Test
    void snapshotRestoresTheWholeStateByteForByte() {
        apply(zone("z1", ZONE_B, ZoneState.OUT));
        apply(form("guide/1", "guide", GUIDE_1, ZONE_A, 1, vm("v1"), vm("v2")));
        apply(dissolve(2));
        apply(new Command.QuarantineRequest("digest", "crashed 2 endpoints", 9_000, 1_000));
        apply(claim("open"));
        apply(claim("finished"));
        apply(new Command.FinishClaim(
                OrganisationName.of("carrick"),
                "finished",
                RequestId.of("r1"),
                RunStatus.COMPLETED,
                new StoredResponse(200, "text/plain", new byte[] {1, 2, 3}),
                1_000));

        final byte[] bytes = ControlCodec.encode(state.snapshot());
        final ControlState restored = ControlState.restore(ControlCodec.decodeSnapshot(bytes));

        assertThat(Arrays.equals(ControlCodec.encode(restored.snapshot()), bytes))
                .isTrue();
        assertThat(restored.apply(99, claim("finished"))).isInstanceOf(CommandResult.AlreadyAnswered.class);
    }

    @Test
    void stateTimeNeverDecreases() {
        apply(new Command.ExpireRecords(5_000));
        apply(new Command.ExpireRecords(2_000));

        assertThat(state.nowEpochMs()).isEqualTo(5_000);
    }

    @Test
    void anyCommandExpiresRecordsByItsTime() {
        apply(claim("open"));

        apply(new Command.QuarantineRequest("digest", "crashed 2 endpoints", 9_000, 2 * ClaimTable.RETENTION_MS));

        assertThat(state.claim(OrganisationName.of("carrick"), "open")).isEmpty();
    }

    private static Command claim(String key) {
        return new Command.ClaimRequest(
                OrganisationName.of("carrick"),
                key,
                "digest",
                RequestId.of("r1"),
                NodeName.of("entry-1"),
                6_000,
                1_000);
    }

    private CommandResult apply(Command command) {
        final Command decoded = ControlCodec.decodeCommand(ControlCodec.encode(command));
        final CommandResult result = state.apply(++index, decoded);
        return ControlCodec.decodeResult(ControlCodec.encode(result));
    }

    private CommandResult.Refused refused(Command command) {
        return (CommandResult.Refused) apply(command);
    }

    private static Command change(String id, long base, DeclaredSet set) {
        return new Command.ApplyConfiguration(ChangeId.of(id), "morag", Revision.of(base), set, 1_000);
    }

    private static Command zone(String id, AvailabilityZone zone, ZoneState state) {
        return new Command.SetZoneState(ChangeId.of(id), "morag", zone, state, 1_000);
    }

    private static Command dissolve(long sequence) {
        return new Command.DissolveGroup(GroupName.of("guide/1"), new FencingToken(1, sequence), "member_lost", 1_000);
    }

    private static Command.FormGroup form(
            String group,
            String pool,
            ModelVersionName version,
            AvailabilityZone zone,
            long sequence,
            VmIncarnation... members) {
        return new Command.FormGroup(
                GroupName.of(group),
                PoolName.of(pool),
                version,
                zone,
                FabricDomain.of("domain-1"),
                List.of(members),
                new FencingToken(1, sequence),
                "group_wanted",
                1_000);
    }

    private static VmIncarnation vm(String name) {
        return new VmIncarnation(VmName.of(name), 1);
    }
}
