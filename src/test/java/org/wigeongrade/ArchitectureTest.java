package org.wigeongrade;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Holds the dependency direction of the packages: peers use decisions, decisions use ids, never back. */
final class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.wigeongrade");

    private static final ArchRule DECISIONS_KNOW_NO_PEER = noClasses()
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

    private static final ArchRule DECISIONS_KNOW_NO_CLOCK = noClasses()
            .that()
            .resideInAPackage("org.wigeongrade.decisions..")
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .allowEmptyShould(true);

    private static final ArchRule IDS_KNOW_NOTHING_ELSE = noClasses()
            .that()
            .resideInAPackage("org.wigeongrade.ids..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.wigeongrade.(decisions|callers|endpoints|operators|nodes|command|settings)..")
            .allowEmptyShould(true);

    static Stream<ArchRule> rules() {
        return Stream.of(DECISIONS_KNOW_NO_PEER, DECISIONS_KNOW_NO_CLOCK, IDS_KNOW_NOTHING_ELSE);
    }

    @ParameterizedTest
    @MethodSource("rules")
    void holds(ArchRule rule) {
        rule.check(CLASSES);
    }
}
