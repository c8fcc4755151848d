package org.wigeongrade;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Holds the dependency direction of the packages: peers use decisions, decisions use ids, never back. */
@AnalyzeClasses(packages = "org.wigeongrade", importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTest {
    @ArchTest
    static final ArchRule DECISIONS_KNOW_NO_PEER = noClasses()
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

    @ArchTest
    static final ArchRule DECISIONS_KNOW_NO_CLOCK = noClasses()
            .that()
            .resideInAPackage("org.wigeongrade.decisions..")
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .allowEmptyShould(true);

    @ArchTest
    static final ArchRule IDS_KNOW_NOTHING_ELSE = noClasses()
            .that()
            .resideInAPackage("org.wigeongrade.ids..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.wigeongrade.(decisions|callers|endpoints|operators|nodes|command|settings)..")
            .allowEmptyShould(true);
}
