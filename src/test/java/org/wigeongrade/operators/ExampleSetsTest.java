package org.wigeongrade.operators;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.config.ConfigurationChecker;
import org.wigeongrade.decisions.config.DeclaredSet;

/** Tests that the declared sets in the examples and in the docs for operators have no faults. */
final class ExampleSetsTest {
    @ParameterizedTest
    @CsvSource({"examples/thistlebrand/declared.toml, 50", "examples/lstra/declared.toml, 50"})
    void exampleIsValid(Path file, int replicas) throws IOException {
        final DeclaredSet set = checked(file, Files.readString(file));

        assertThat(set.zones()).hasSize(3);
        assertThat(set.pools().stream().mapToInt(pool -> pool.replicas()).sum()).isEqualTo(replicas);
    }

    @ParameterizedTest
    @CsvSource({"docs/operators/declaring-objects.md, 1", "docs/operators/organisations.md, 0"})
    void declaredSetOnPageIsValid(Path page, int pools) throws IOException {
        final String text = Files.readString(page);
        final String block = text.substring(text.indexOf("```toml\n") + 8, text.indexOf("\n```\n"));

        assertThat(checked(page, block).pools()).hasSize(pools);
    }

    private static DeclaredSet checked(Path file, String text) {
        final DeclaredSetReadResult result = DeclaredSetReader.read(List.of(new DeclaredFile(file.toString(), text)));
        assertThat(result.faults()).isEmpty();
        assertThat(ConfigurationChecker.check(result.set(), DeclaredSet.EMPTY)).isEmpty();
        return result.set();
    }
}
