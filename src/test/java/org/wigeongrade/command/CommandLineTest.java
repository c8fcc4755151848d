package org.wigeongrade.command;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Splitter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.settings.Fault;

/** Checks invalid command lines, the help, and that the docs list the same subcommands and exit codes. */
final class CommandLineTest {
    private static final Path COMMAND_LINE_PAGE = Path.of("docs/operators/command-line.md");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "aply | USAGE | did you mean 'wigeongrade apply'?",
                "zone sideways zone-a | USAGE | not a valid value for \"in|out\"",
                "zone out | USAGE | Argument \"ZONE\" is required",
                "apply set.toml | USAGE | \"--base-revision\" is required",
                "apply --base-revision four set.toml | USAGE | \"four\" is not a valid value",
                "apply --base-revision 0 /nowhere/set.toml | BAD_FILE | file /nowhere/set.toml cannot be read",
                "status --entry localhost:1 | USAGE | 'localhost:1' is not an address",
                "status --colour | USAGE | \"--colour\" is not a valid option",
                "stop --entry 127.0.0.1:1 --entry 127.0.0.1:2 | USAGE | takes exactly one node, but 2 were given",
                "node --settings /nowhere/n.toml | BAD_FILE | cannot be read",
                "node --settings examples/lstra/entry-1.toml --log-level loud | USAGE | expected debug, info,",
                "why requst r-1 | USAGE | not a valid value",
                "status --timeout-ms 1 --entry 127.0.0.1:1 | UNREACHABLE | pass running entry VMs with --entry"
            })
    void reportsUsageErrorWithFix(String line, ExitCode expected, String message) {
        assertThat(run(line)).isEqualTo(expected);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains(message);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("fix: ");
        assertThat(out.toString(StandardCharsets.UTF_8)).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("subcommandNames")
    void eachSubcommandHasHelpAndDocs(String name) throws IOException {
        assertThat(run(name + " --help")).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("exit codes:");
        assertThat(Files.readString(COMMAND_LINE_PAGE)).contains("\n## `" + name);
        assertThat(Files.readString(Path.of("README.md"))).contains("`" + name);
    }

    @Test
    void readmeListsBuildCommands() throws IOException {
        assertThat(Files.readString(Path.of("README.md"))).contains("\n    ./demo\n");
        assertThat(Files.readString(Path.of("README.md"))).contains("\n    mvn verify\n");
        assertThat(Files.readString(Path.of(".ci/run"))).contains("\nmvn -B verify ");
    }

    @Test
    void docsListTheSameExitCodes() throws IOException {
        final List<String> rows = Files.readAllLines(COMMAND_LINE_PAGE).stream()
                .filter(line -> line.matches("\\| \\d+ \\|.*"))
                .toList();

        assertThat(rows)
                .containsExactlyElementsIn(Arrays.stream(ExitCode.values())
                        .map(code -> "| %d | %s |".formatted(code.value(), code.meaning()))
                        .toList())
                .inOrder();
    }

    @Test
    void locatesFaultInSourceFile(@TempDir Path folder) throws IOException {
        final Path first = Files.writeString(folder.resolve("a.toml"), "one\ntwo");
        final Path second = Files.writeString(folder.resolve("b.toml"), "three\nfour\n");
        final DeclaredFiles declaredFiles = DeclaredFiles.read(List.of(first, second));

        assertThat(declaredFiles.joinedText()).isEqualTo("one\ntwo\nthree\nfour\n");
        assertThat(declaredFiles
                        .withFileAndLine(new Fault("", 2, "pool x", "bad"))
                        .toLine())
                .isEqualTo(first + ":2: pool x: bad");
        assertThat(declaredFiles
                        .withFileAndLine(new Fault("", 3, "pool x", "bad"))
                        .toLine())
                .isEqualTo(second + ":1: pool x: bad");
        assertThat(declaredFiles
                        .withFileAndLine(new Fault("", 0, "pool x", "bad"))
                        .toLine())
                .isEqualTo("declared set: pool x: bad");
    }

    @Test
    void textOutputShowsEveryField() throws JsonProcessingException {
        final String json = """
                {"revision":5,"nodes":[{"name":"entry-1","lease":true},{"name":"entry-22","since_ms":7}],
                 "groups":[],"zones":["a","b"],"limits":{"x":{"y":[1,2]}},"later_field":null}
                """;

        assertThat(OutputFormat.TEXT.render(new ObjectMapper().readTree(json))).isEqualTo("""
                        revision     5
                        nodes:
                          name      lease  since_ms
                          entry-1   true   -
                          entry-22  -      7
                        groups       -
                        zones        a,b
                        limits:
                          x:
                            y  1,2
                        later_field  -
                        """);
    }

    private static Stream<String> subcommandNames() {
        return Subcommands.ALL.stream().map(SubcommandDefinition::name);
    }

    private ExitCode run(String line) {
        final CommandIo io = CommandIo.of(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                Map.of());
        return CommandLine.run(Splitter.on(' ').splitToList(line), io);
    }
}
