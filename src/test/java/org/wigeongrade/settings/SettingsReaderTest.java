package org.wigeongrade.settings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/** Checks that valid settings files are read and that each fault is reported at its line. */
final class SettingsReaderTest {
    private static final Path FILE = Path.of("/etc/wigeongrade/entry-1.toml");
    private static final String VALID_SETTINGS = """
            name = "entry-1"
            availability_zone = "zone-a"
            listen = "127.0.0.1:8001"
            peer_listen = "127.0.0.1:9001"
            log_listen = "127.0.0.1:9101"
            data_folder = "data"
            view_lease_ms = 3000
            [[peer]]
            name = "entry-1"
            peer_address = "127.0.0.1:9001"
            log_address = "127.0.0.1:9101"
            [[peer]]
            name = "entry-2"
            peer_address = "127.0.0.1:9002"
            """;

    @Test
    void readsValidFile() {
        final NodeSettings settings = SettingsReader.parse(FILE, VALID_SETTINGS).orElseThrow();

        assertThat(settings.isControl()).isTrue();
        assertThat(settings.dataFolder()).hasValue(Path.of("/etc/wigeongrade/data"));
        assertThat(settings.limits().viewLeaseMs()).isEqualTo(3_000);
        assertThat(settings.limits().pullIntervalMs()).isEqualTo(500);
        assertThat(settings.controlPeers()).hasSize(1);
        assertThat(settings.otherPeers()).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name = \"entry-1\" | nmae = \"entry-1\" | 1 | nmae: is not a known key; expected name (the nearest",
                "name = \"entry-1\" | nmae = \"entry-1\" | 1 | name: is missing",
                "name = \"entry-1\" | name = \"entry-9\" | 1 | name: entry-9 has no [[peer]] table",
                "name = \"entry-1\" | name = \"a b\" | 1 | name: node name 'a b' is malformed",
                "name = \"entry-1\" | name = 7 | 1 | name: is an integer; expected a string",
                "127.0.0.1:8001 | localhost:8001 | 3 | listen: 'localhost:8001' is not an address",
                "127.0.0.1:8001 | 127.0.0.1 | 3 | is not an address; expected an IP address and a port",
                "127.0.0.1:8001 | 127.0.0.1:70000 | 3 | is not an address; expected an IP address and a port",
                "127.0.0.1:8001 | 127.0.0.1:9002 | 3 | is also a peer_address or log_address",
                "peer_listen = \"127.0.0.1:9001\" | peer_listen = \"127.0.0.1:9009\" | 4 | the other nodes connect to",
                "log_listen = \"127.0.0.1:9101\" |  | 1 | log_listen: must be set here and as log_address",
                "log_address = \"127.0.0.1:9101\" |  | 5 | log_listen: must be set here and as log_address",
                "log_address = \"127.0.0.1:9101\" |  | 8 | expected 1, 3 or 5 control VMs",
                "data_folder = \"data\" |  | 1 | data_folder: is missing; expected a folder",
                "view_lease_ms = 3000 | view_lease_ms = 1 | 7 | is 1; expected an integer from 200 to 60000",
                "view_lease_ms = 3000 | view_lease_ms = \"3s\" | 7 | is a string; expected an integer",
                "view_lease_ms = 3000 | pull_interval_ms = 1500 | 7 | expected at most view_lease_ms / 2, which is 1000",
                "view_lease_ms = 3000 | request_timeout_ms = 900 | 1 | stall_timeout_ms: is 10000; expected at most",
                "view_lease_ms = 3000 | veiw_lease_ms = 3000 | 7 | expected view_lease_ms (the nearest known key)",
                "view_lease_ms = 3000 | xyzzyplugh = 3000 | 7 | is not a known key; expected one of announcement",
                "entry-2 | entry-1 | 8 | has 2 tables with name entry-1",
                "127.0.0.1:9002 | 127.0.0.1:9001 | 8 | uses 127.0.0.1:9001 2 times",
                "name = \"entry-2\" | nam = \"entry-2\" | 13 | peer 2.nam: is not a known key; expected name",
                "name = \"entry-2\" | nam = \"entry-2\" | 12 | peer 2.name: is missing",
                "view_lease_ms = 3000 | view_lease_ms = | 7 | TOML syntax"
            })
    void reportsFaultWithItsLine(String validPart, String invalidPart, int line, String expected) {
        final String text = VALID_SETTINGS.replaceFirst(
                Pattern.quote(validPart), Matcher.quoteReplacement(invalidPart == null ? "" : invalidPart));

        final List<Fault> faults = faultsOf(text);

        assertWithMessage("%s", faults)
                .that(faults.stream()
                        .anyMatch(
                                fault -> fault.line() == line && fault.toLine().contains(expected)))
                .isTrue();
    }

    @Test
    void reportsAllFaultsAtOnce() {
        final List<Fault> faults = faultsOf("nme = 1\nlisten = 2\nworker_threads = 0\n[[peer]]\n");

        assertThat(faults.stream().map(Fault::object).toList())
                .containsAtLeast(
                        "nme",
                        "name",
                        "listen",
                        "peer_listen",
                        "availability_zone",
                        "worker_threads",
                        "peer 1.name",
                        "peer 1.peer_address");
    }

    @Test
    void rejectsMissingFile() {
        final WigeongradeException error =
                assertThrows(WigeongradeException.class, () -> SettingsReader.read(Path.of("/nowhere/x.toml")));

        assertThat(error.kind()).isEqualTo(ErrorKind.INVALID_CONFIGURATION);
        assertThat(error).hasMessageThat().contains("/nowhere/x.toml: file: cannot be read");
    }

    @ParameterizedTest
    @MethodSource("exampleFiles")
    void acceptsExampleFile(Path example) {
        assertThat(SettingsReader.tryRead(example)).isInstanceOf(SettingsResult.Valid.class);
    }

    @ParameterizedTest
    @CsvSource({"thistlebrand, 7, 3, scot-central", "lstra, 7, 5, tx-central"})
    void examplesOfDeploymentDescribeSameFleet(String deployment, int nodes, int controlVms, String region) {
        final List<NodeSettings> fleet = exampleFiles()
                .filter(file -> file.getParent().endsWith(deployment))
                .map(SettingsReader::read)
                .toList();

        assertThat(fleet).hasSize(nodes);
        assertThat(fleet.stream().filter(NodeSettings::isControl).toList()).hasSize(controlVms);
        assertThat(fleet.stream().map(NodeSettings::peers).distinct().toList()).hasSize(1);
        assertThat(fleet.stream()
                        .map(node -> node.availabilityZone().value())
                        .distinct()
                        .sorted()
                        .toList())
                .containsExactly(region + "-a", region + "-b", region + "-c")
                .inOrder();
    }

    @ParameterizedTest
    @EnumSource(LimitKey.class)
    void operatorDocsListEachLimit(LimitKey key) throws IOException {
        assertThat(Files.readString(Path.of("docs/operators/settings.md")))
                .contains("\n| `%s` | %d | %d to %d | %s |\n"
                        .formatted(key.key(), key.defaultValue(), key.min(), key.max(), key.meaning()));
    }

    private static Stream<Path> exampleFiles() {
        try (Stream<Path> files = Files.walk(Path.of("examples"))) {
            return files
                    .filter(file -> file.getFileName().toString().matches("entry-\\d+\\.toml"))
                    .sorted()
                    .toList()
                    .stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<Fault> faultsOf(String text) {
        final SettingsResult outcome = SettingsReader.parse(FILE, text);
        assertThat(outcome).isInstanceOf(SettingsResult.Invalid.class);
        return ((SettingsResult.Invalid) outcome).faults();
    }
}
