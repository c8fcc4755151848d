package org.wigeongrade;

import static com.google.common.truth.Truth.assertThat;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the dependency direction of the packages: packages that talk to other systems use decisions, decisions use
 * ids, and never the other way round.
 */
final class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.wigeongrade");

    private static final ArchRule DECISIONS_DO_NOT_DEPEND_ON_ADAPTERS = noClasses()
            .that()
            .resideInAPackage("org.wigeongrade.decisions..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "org.wigeongrade.callers..",
                    "org.wigeongrade.endpoints..",
                    "org.wigeongrade.operators..",
                    "org.wigeongrade.platform..",
                    "org.wigeongrade.nodes..",
                    "org.wigeongrade.weightstore..",
                    "org.wigeongrade.disk..",
                    "org.wigeongrade.command..",
                    "org.wigeongrade.settings..",
                    "java.net..",
                    "java.nio.channels..",
                    "ratpack..",
                    "io.netty..",
                    "org.apache.thrift..")
            .allowEmptyShould(true);

    private static final ArchRule DECISIONS_DO_NOT_READ_THE_CLOCK = noClasses()
            .that()
            .resideInAPackage("org.wigeongrade.decisions..")
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .allowEmptyShould(true);

    private static final ArchRule IDS_DO_NOT_DEPEND_ON_OTHER_PACKAGES = noClasses()
            .that()
            .resideInAPackage("org.wigeongrade.ids..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.wigeongrade.(decisions|callers|endpoints|operators|nodes|command|settings)..")
            .allowEmptyShould(true);

    private static final ArchRule ONLY_COMMAND_DEPENDS_ON_PLATFORM = noClasses()
            .that()
            .resideOutsideOfPackages("org.wigeongrade.platform..", "org.wigeongrade.command..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.wigeongrade.platform..");

    /** Names of the platform's wire protocol, as they would appear in a string literal. */
    private static final Pattern PLATFORM_WIRE_NAME =
            Pattern.compile("\"[^\"]*(?i:x-attempt-id|x-credential|x-tenant|x-server-seal"
                    + "|x-not-executed|x-expect-instance|x-deadline-ms|x-token-count|x-model|x-prompt-prefix|at-server|server-leaving|server-limit|/-/|heartbeatAddress"
                    + "|trafficSplit|targetItlMs|apiKeys|coldRemainingMs)[^\"]*\"");

    static Stream<ArchRule> rules() {
        return Stream.of(
                DECISIONS_DO_NOT_DEPEND_ON_ADAPTERS,
                DECISIONS_DO_NOT_READ_THE_CLOCK,
                IDS_DO_NOT_DEPEND_ON_OTHER_PACKAGES,
                ONLY_COMMAND_DEPENDS_ON_PLATFORM);
    }

    @Test
    void platformWireNamesStayInPlatformPackage() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            final List<Path> found = files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> !file.toString().contains("/platform/"))
                    .filter(file -> PLATFORM_WIRE_NAME.matcher(read(file)).find())
                    .toList();
            assertThat(found).isEmpty();
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @ParameterizedTest
    @MethodSource("rules")
    void dependencyRuleHolds(ArchRule rule) {
        rule.check(CLASSES);
    }
}
