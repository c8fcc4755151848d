package org.wigeongrade.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.errors.WigeongradeException;

final class FleetSettingsReaderTest {
    private static final Path FILE = Path.of("node.toml");
    private static final String CONTROL_SETTINGS = """
            name = "core-1"
            role = "control"
            availability_zone = "zone-a"
            ip = "10.1.0.43"
            control_listen = "10.1.0.43:8229"
            first_internal_port = 7340
            seeds = ["10.1.0.43:8229", "10.2.0.31:8229"]
            bootstrap = true
            data_folder = "/data"
            losses_borne = 2
            retry_ratio = 0.25
            grace_s = 8
            """;

    @Test
    void readsControlNodeSettings() {
        final FleetSettings settings = FleetSettingsReader.parse(FILE, CONTROL_SETTINGS);

        assertThat(settings.role()).isEqualTo(FleetRole.CONTROL);
        assertThat(settings.number(FleetKey.RETRY_RATIO)).isEqualTo(0.25);
        assertThat(settings.number(FleetKey.RETRY_SLACK)).isEqualTo(FleetKey.RETRY_SLACK.defaultValue());
        assertThat(settings.ms(FleetKey.GRACE_S)).isEqualTo(8_000);
        assertThat(settings.fleetPort()).isEqualTo(7_341);
        assertThat(settings.controlPort()).isEqualTo(8_229);
        assertThat(settings.seeds()).hasSize(2);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "role = \"control\" | role = \"boss\" | role",
                "role = \"control\" | role = \"entry\" | caller_listen",
                "data_folder = \"/data\" | '' | data_folder",
                "first_internal_port = 7340 | '' | first_internal_port",
                "seeds = [\"10.1.0.43:8229\", \"10.2.0.31:8229\"] | seeds = [] | seeds",
                "\"10.2.0.31:8229\" | \"host\" | seeds",
                "losses_borne = 2 | losses_borne = 9 | losses_borne",
                "grace_s = 8 | grace = 8 | grace",
                "retry_ratio = 0.25 | retry_ratio = \"much\" | retry_ratio",
            })
    void errorNamesKeyAtFault(String part, String replacement, String key) {
        final String invalidSettings = CONTROL_SETTINGS.replace(part, replacement);

        assertThat(invalidSettings).isNotEqualTo(CONTROL_SETTINGS);
        final WigeongradeException error =
                assertThrows(WigeongradeException.class, () -> FleetSettingsReader.parse(FILE, invalidSettings));
        assertThat(error).hasMessageThat().contains(key);
    }
}
