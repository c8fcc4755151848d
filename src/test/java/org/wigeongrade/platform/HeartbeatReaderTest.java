package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;

final class HeartbeatReaderTest {
    private static final String HEARTBEAT = """
            {"service":"pool","address":"10.128.0.9:8080","zone":"zone-a","version":"v1","slots":18,"state":"ready",
             "coldRemainingMs":1500,"models":[{"name":"m0","version":1,"adapters":[]}],"sequence":4,"born":1700000000123,
             "domain":"d3","staged":["m0"],"group":{"name":"g7","epoch":12,"rank":1,"state":"ready"}}
            """;

    @Test
    void readsGroupMember() {
        final VmHeartbeat read = read(HEARTBEAT);

        assertThat(read.vm().incarnation()).isEqualTo(1_700_000_000_123L);
        assertThat(read.domain()).hasValue(FabricDomain.of("d3"));
        assertThat(read.loadedModel()).hasValue(ModelVersionName.of("m0"));
        assertThat(read.stagedModels()).containsExactly(ModelVersionName.of("m0"));
        assertThat(read.group()).hasValue(new GroupReport(GroupName.of("g7"), 12, 1, GroupState.READY));
        assertThat(read.coldForMs()).isEqualTo(1_500);
    }

    @Test
    void readsPlainEndpoint() {
        final VmHeartbeat read = read("""
                {"service":"app","address":"10.128.0.9:8080","zone":"zone-a","version":"v1","slots":6,
                 "state":"draining","coldRemainingMs":0,"sequence":4,"born":1}
                """);

        assertThat(read.draining()).isTrue();
        assertThat(read.domain()).isEmpty();
        assertThat(read.group()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"service\":\"pool\", | ''",
                "\"address\":\"10.128.0.9:8080\" | \"address\":\"host:8080\"",
                "\"slots\":18,\"state\":\"ready\" | \"slots\":18,\"state\":\"asleep\"",
                "\"sequence\":4 | \"sequence\":\"4\"",
                "\"born\":1700000000123 | \"born\":1.5",
                "\"born\":1700000000123, | ''",
                "\"slots\":18 | \"slots\":-1",
                "\"rank\":1,\"state\":\"ready\" | \"rank\":1,\"state\":\"odd\"",
            })
    void rejectsMissingAndInvalidFields(String part, String replacement) {
        final String malformed = HEARTBEAT.replace(part, replacement);

        assertThat(malformed).isNotEqualTo(HEARTBEAT);
        assertThrows(WigeongradeException.class, () -> read(malformed));
    }

    /** Values that have the right type but overflow what is computed from them, or outlast all later heartbeats. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"coldRemainingMs\":1500 | \"coldRemainingMs\":1e400",
                "\"coldRemainingMs\":1500 | \"coldRemainingMs\":86400001",
                "\"slots\":18 | \"slots\":2147483647",
                "\"slots\":18 | \"slots\":99999999999999999999",
                "\"born\":1700000000123 | \"born\":9223372036854775807",
                "\"born\":1700000000123 | \"born\":-1",
                "\"sequence\":4 | \"sequence\":9223372036854775807",
                "\"epoch\":12 | \"epoch\":9223372036854775807",
                "\"epoch\":12 | \"epoch\":-1",
                "\"address\":\"10.128.0.9:8080\" | \"address\":\"0.0.0.0:8080\"",
                "\"address\":\"10.128.0.9:8080\" | \"address\":\"[::]:8080\"",
                "\"address\":\"10.128.0.9:8080\" | \"address\":\"224.0.0.1:8080\"",
                "\"address\":\"10.128.0.9:8080\" | \"address\":\"255.255.255.255:8080\"",
                "\"address\":\"10.128.0.9:8080\" | \"address\":\"10.128.0.9:65536\"",
                "\"address\":\"10.128.0.9:8080\" | \"address\":\"10.128.0.9:0\"",
            })
    void rejectsValuesOutOfBounds(String part, String replacement) {
        final String odd = HEARTBEAT.replace(part, replacement);

        assertThat(odd).isNotEqualTo(HEARTBEAT);
        assertThrows(WigeongradeException.class, () -> read(odd));
    }

    /** A deeply nested field exhausted the stack of the reader. */
    @ParameterizedTest
    @ValueSource(ints = {999, 100_000})
    void rejectsDeeplyNestedFields(int depth) {
        final String nested = HEARTBEAT.replace("\"slots\":18", "\"slots\":" + "[".repeat(depth) + "]".repeat(depth));

        assertThrows(WigeongradeException.class, () -> read(nested));
    }

    private static VmHeartbeat read(String text) {
        return HeartbeatReader.read("i-1", text.getBytes(StandardCharsets.UTF_8));
    }
}
