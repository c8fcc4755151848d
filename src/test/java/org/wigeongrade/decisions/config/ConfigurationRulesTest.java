package org.wigeongrade.decisions.config;

import static com.google.common.truth.Truth.assertThat;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_1;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_2;
import static org.wigeongrade.decisions.TestDeclaredSets.ZONE_A;
import static org.wigeongrade.decisions.TestDeclaredSets.ZONE_B;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.decisions.TestDeclaredSets;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.PoolName;
import org.wigeongrade.ids.ServiceName;

final class ConfigurationRulesTest {
    private static final PoolDeclaration POOL = TestDeclaredSets.pool(2, 2);

    /** Faulty sets: the code, object and field of the fault that a rule must find, and the set. */
    static Stream<Arguments> bad() {
        return Stream.of(
                bad("missing_value", "(unnamed)", "name", zones(TestDeclaredSets.zone(null))),
                bad("missing_value", "guide", "weighs", TestDeclaredSets.with(pool(2, 2, 8, 2, null, 0, ZONE_A))),
                bad(
                        "duplicate_name",
                        "zone-a",
                        "name",
                        zones(TestDeclaredSets.zone(ZONE_A), TestDeclaredSets.zone(ZONE_A))),
                bad("unknown_reference", "guide", "model_version", TestDeclaredSets.with(version("guide-9"))),
                bad(
                        "unknown_reference",
                        "guide",
                        "availability_zones",
                        TestDeclaredSets.with(pool(2, 2, 8, 2, "zone-x"))),
                bad("unknown_reference", "g", "pool", group("g", "other", ZONE_A)),
                bad("unknown_reference", "g", "availability_zone", group("g", "guide", AvailabilityZone.of("zone-x"))),
                bad("unknown_reference", "portal", "availability_zones", service("GET", "zone-x")),
                bad("non_positive_number", "guide", "replicas", TestDeclaredSets.with(pool(-1, 2, 8, 2))),
                bad("non_positive_number", "guide", "vms_per_replica", TestDeclaredSets.with(pool(2, 0, 8, 2))),
                bad("non_positive_number", "guide", "cold_capacity", TestDeclaredSets.with(pool(2, 2, 8, 0))),
                bad("number_too_large", "guide", "replicas", TestDeclaredSets.with(pool(2_000_000_000, 2, 8, 2))),
                bad("cold_capacity_over_capacity", "guide", "cold_capacity", TestDeclaredSets.with(pool(2, 2, 8, 9))),
                bad("key_digest_malformed", "carrick", "key_sha256", organisations("carrick", "key-carrick")),
                bad("key_digest_malformed", "carrick", "key_sha256", organisations("carrick", "AB".repeat(32))),
                bad("organisation_without_key", "carrick", "key_sha256", organisations("carrick")),
                bad(
                        "key_shared_by_organisations",
                        "lyle",
                        "key_sha256",
                        organisations(
                                TestDeclaredSets.organisation("carrick", TestDeclaredSets.DIGEST),
                                TestDeclaredSets.organisation("lyle", TestDeclaredSets.DIGEST))),
                bad("group_name_taken", "guide/2", "name", group("guide/2", "guide", ZONE_A)),
                bad("group_zone_not_in_pool", "g", "availability_zone", pinnedOutsidePool()),
                bad("pool_without_zone", "guide", "availability_zones", poolWithoutZones()),
                bad(
                        "warm_spares_without_effect",
                        "guide",
                        "warm_spares",
                        TestDeclaredSets.with(pool(2, 2, 8, 2, PlacementObjective.STRANDED_ACCELERATORS, 1, ZONE_A))),
                bad("model_version_redefined", "guide-1", "weights", redefined()),
                bad("model_with_two_versions", "other", "model_version", twoPools(GUIDE_2)),
                bad("method_malformed", "portal", "idempotent_methods", service("get", "zone-a")));
    }

    @ParameterizedTest
    @MethodSource("bad")
    void ruleFindsFault(String code, String object, String field, DeclaredSet set) {
        final List<ConfigurationFault> faults = ConfigurationChecker.check(set, TestDeclaredSets.valid());

        final ConfigurationFault fault = faults.stream()
                .filter(found -> found.code().equals(code) && found.field().equals(field))
                .findFirst()
                .orElseThrow(() -> new AssertionError("found only " + faults));
        assertThat(fault.object().name()).isEqualTo(object);
    }

    /** Valid sets that are close to a fault; no rule may find a fault in them. */
    static Stream<Arguments> good() {
        return Stream.of(
                Arguments.of("empty set", DeclaredSet.EMPTY),
                Arguments.of("zone without a pool", zones(TestDeclaredSets.zone(ZONE_A))),
                Arguments.of("pool without replicas", TestDeclaredSets.with(pool(0, 2, 8, 2))),
                Arguments.of("cold capacity equal to capacity", TestDeclaredSets.with(pool(2, 2, 8, 8))),
                Arguments.of("group named with the number after the last replica", group("guide/3", "guide", ZONE_A)),
                Arguments.of("group name with a letter before the number", group("guide/a2", "guide", ZONE_A)),
                Arguments.of(
                        "warm spares of a pool that keeps them",
                        TestDeclaredSets.with(pool(2, 2, 8, 2, PlacementObjective.GROUP_DOWNTIME, 1, ZONE_A))),
                Arguments.of("two pools of one version", twoPools(GUIDE_1)),
                Arguments.of("pool switched to another declared version", TestDeclaredSets.with(version("guide-2"))));
    }

    @ParameterizedTest
    @MethodSource("good")
    void noRuleFindsFault(String name, DeclaredSet set) {
        assertThat(ConfigurationChecker.check(set, TestDeclaredSets.valid())).isEmpty();
    }

    @Test
    void allFaultsAreListedAtOnce() {
        final List<ConfigurationFault> faults =
                ConfigurationChecker.check(TestDeclaredSets.with(pool(-1, 0, 1, 9, "zone-x")), DeclaredSet.EMPTY);

        assertThat(faults.stream().map(ConfigurationFault::code).distinct())
                .containsAtLeast("unknown_reference", "non_positive_number", "cold_capacity_over_capacity");
    }

    @Test
    void warningsAloneDoNotRefuseTheSet() {
        assertThat(ConfigurationChecker.refusesSet(ConfigurationChecker.check(twoPools(GUIDE_2), DeclaredSet.EMPTY)))
                .isFalse();
    }

    @Test
    void everyRuleIsTestedAndHasASectionInTheDocs() throws IOException {
        final String docs = Files.readString(Path.of("docs/RULES.md"));
        final List<String> testedCodes =
                bad().map(arguments -> (String) arguments.get()[0]).distinct().toList();

        for (final ConfigurationRule rule : ConfigurationChecker.rules()) {
            assertThat(testedCodes).contains(rule.code());
            assertThat(docs).contains("### " + rule.code() + "\n\n" + rule.summary());
        }
    }

    private static Arguments bad(String code, String object, String field, DeclaredSet set) {
        return Arguments.of(code, object, field, set);
    }

    private static DeclaredSet zones(ZoneDeclaration... zones) {
        return new DeclaredSet(List.of(zones), List.of(), List.of(), List.of(), List.of(), List.of());
    }

    private static PoolDeclaration pool(int replicas, int vms, int capacity, int coldCapacity) {
        return pool(replicas, vms, capacity, coldCapacity, PlacementObjective.GROUP_DOWNTIME, 0, ZONE_A);
    }

    private static PoolDeclaration pool(int replicas, int vms, int capacity, int coldCapacity, String zone) {
        final AvailabilityZone other = AvailabilityZone.of(zone);
        return pool(replicas, vms, capacity, coldCapacity, PlacementObjective.GROUP_DOWNTIME, 0, other);
    }

    private static PoolDeclaration pool(
            int replicas,
            int vms,
            int capacity,
            int coldCapacity,
            PlacementObjective weighs,
            int spares,
            AvailabilityZone zone) {
        return pool(GUIDE, GUIDE_1, replicas, vms, capacity, coldCapacity, weighs, spares, zone);
    }

    private static PoolDeclaration pool(
            PoolName name,
            ModelVersionName version,
            int replicas,
            int vms,
            int capacity,
            int coldCapacity,
            PlacementObjective weighs,
            int spares,
            AvailabilityZone zone) {
        return new PoolDeclaration(
                name, version, replicas, vms, capacity, coldCapacity, weighs, spares, true, 1_000, 4, List.of(zone));
    }

    private static PoolDeclaration version(String version) {
        final ModelVersionName name = ModelVersionName.of(version);
        return pool(GUIDE, name, 2, 2, 8, 2, PlacementObjective.GROUP_DOWNTIME, 0, ZONE_A);
    }

    private static DeclaredSet group(String name, String pool, AvailabilityZone zone) {
        return withGroup(POOL, new GroupDeclaration(GroupName.of(name), PoolName.of(pool), zone));
    }

    private static DeclaredSet pinnedOutsidePool() {
        return withGroup(pool(2, 2, 8, 2), new GroupDeclaration(GroupName.of("g"), GUIDE, ZONE_B));
    }

    private static DeclaredSet withGroup(PoolDeclaration pool, GroupDeclaration group) {
        final DeclaredSet set = TestDeclaredSets.with(pool);
        return new DeclaredSet(
                set.zones(), set.modelVersions(), set.pools(), List.of(group), set.services(), set.organisations());
    }

    private static DeclaredSet poolWithoutZones() {
        return new DeclaredSet(
                List.of(), List.of(TestDeclaredSets.version(GUIDE_1)), List.of(POOL), List.of(), List.of(), List.of());
    }

    private static DeclaredSet twoPools(ModelVersionName second) {
        final DeclaredSet set = TestDeclaredSets.valid();
        final PoolDeclaration other =
                pool(PoolName.of("other"), second, 1, 2, 8, 2, PlacementObjective.GROUP_DOWNTIME, 0, ZONE_A);
        return new DeclaredSet(
                set.zones(),
                set.modelVersions(),
                List.of(POOL, other),
                set.groups(),
                set.services(),
                set.organisations());
    }

    private static DeclaredSet redefined() {
        final DeclaredSet set = TestDeclaredSets.valid();
        return new DeclaredSet(
                set.zones(),
                List.of(
                        new ModelVersionDeclaration(GUIDE_1, "guide", "other-weights"),
                        TestDeclaredSets.version(GUIDE_2)),
                set.pools(),
                set.groups(),
                set.services(),
                set.organisations());
    }

    private static DeclaredSet service(String method, String zone) {
        final ServiceDeclaration service = new ServiceDeclaration(
                ServiceName.of("portal"), 8, 1, 1_000, List.of(method), List.of(AvailabilityZone.of(zone)));
        return new DeclaredSet(
                List.of(TestDeclaredSets.zone(ZONE_A)), List.of(), List.of(), List.of(), List.of(service), List.of());
    }

    private static DeclaredSet organisations(String name, String... digests) {
        return organisations(TestDeclaredSets.organisation(name, digests));
    }

    private static DeclaredSet organisations(OrganisationDeclaration... organisations) {
        return new DeclaredSet(List.of(), List.of(), List.of(), List.of(), List.of(), List.of(organisations));
    }
}
