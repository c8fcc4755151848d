package org.wigeongrade.operators;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.config.ConfigurationChecker;
import org.wigeongrade.decisions.config.ConfigurationFault;
import org.wigeongrade.decisions.config.DeclaredSet;

final class DeclaredSetReaderTest {
    @Test
    void readsExampleWithoutFaults() throws IOException {
        final String text = Files.readString(Path.of("examples/declared.toml"));

        final DeclaredSetReadResult result = read(text);

        assertThat(result.faults()).isEmpty();
        assertThat(ConfigurationChecker.check(result.set(), DeclaredSet.EMPTY)).isEmpty();
        assertThat(result.set().zones()).hasSize(3);
        assertThat(result.set().pools().get(0).vmsPerReplica()).isEqualTo(2);
        assertThat(result.set().organisations()).hasSize(2);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[[pol]] | f.toml:1 | did you mean 'pool'? | unknown_key",
                "[[availability_zone]];name='a';regoin='x' | f.toml:3 | did you mean 'region'? | unknown_key",
                "[[availability_zone]];region='x' | f.toml:1 | has no name | missing_value",
                "[[availability_zone]];name='a b' | f.toml:2 | malformed | malformed_value",
                "[[availability_zone]];name=7 | f.toml:2 | must be a string | wrong_type",
                "[availability_zone];name='a' | f.toml:1 | write [[availability_zone]] | wrong_type",
                "[[pool]];name='p';model_version='v' | f.toml:1 | has no replicas | missing_value",
                "[[pool]];name='p';model_version='v';replicas='2' | f.toml:4 | a whole number | wrong_type",
                "[[pool]];name='p';model_version='v';replicas=2;weighs='both' | f.toml:5 | group_downtime | malformed_value",
                "[[service]];name='s';idempotent_methods='GET' | f.toml:3 | a list of strings | wrong_type",
                "[[service]];name= | f.toml:2 | | malformed_toml",
            })
    void faultNamesFileLineAndFix(String toml, String position, String message, String code) {
        final DeclaredSetReadResult result = read(toml.replace(';', '\n'));

        assertThat(result.faults()).hasSize(1);
        final String fault = result.faults().get(0).toString();
        assertThat(fault).startsWith(position + ":");
        assertThat(fault).contains(message == null ? "" : message);
        assertThat(fault).endsWith("(" + code + ")");
    }

    @Test
    void locatesRuleFaultAtObjectDeclaration() {
        final DeclaredSetReadResult result = read("\n\n[[service]]\nname='s'\ncapacity=0\n");

        final ConfigurationFault fault =
                ConfigurationChecker.check(result.set(), DeclaredSet.EMPTY).get(0);

        assertThat(result.toFileFault(fault).line()).isEqualTo(3);
    }

    private static DeclaredSetReadResult read(String text) {
        return DeclaredSetReader.read(List.of(new DeclaredFile("f.toml", text)));
    }
}
