package org.wigeongrade.command;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.standin.StandinMain;

/**
 * All subcommands of the program, in the order in which the help lists them. Immutable; safe for use from any thread.
 */
public final class Subcommands {
    /** Every subcommand; add new ones here. */
    public static final ImmutableList<SubcommandDefinition> ALL = ImmutableList.of(
            new SubcommandDefinition("node", "run one node of the system", NodeCommand::new),
            new SubcommandDefinition(
                    "fleet-node",
                    "run a node of a fleet whose nodes find each other through seeds",
                    FleetNodeCommand::new),
            new SubcommandDefinition(
                    "fleet-trial", "start one control and one entry node for some seconds", FleetTrialCommand::new),
            new SubcommandDefinition("check", "check a declared set without publishing it", CheckCommand::new),
            new SubcommandDefinition("apply", "check and publish a declared set", ApplyCommand::new),
            new SubcommandDefinition("get", "print the configuration in force", GetCommand::new),
            new SubcommandDefinition("status", "print nodes, groups and availability zones", StatusCommand::new),
            new SubcommandDefinition("zone", "take an availability zone out or bring it in", ZoneCommand::new),
            new SubcommandDefinition("why", "explain what was decided about an object", WhyCommand::new),
            new SubcommandDefinition("stop", "stop one node gracefully", StopCommand::new),
            new SubcommandDefinition("standin engine", "run a stand-in for an engine VM", () -> standin("engine")),
            new SubcommandDefinition("standin service", "run a stand-in for a plain service", () -> standin("service")),
            new SubcommandDefinition(
                    "standin weightstore", "run a stand-in weight store", () -> standin("weightstore")),
            new SubcommandDefinition("bench", "send load to entry VMs and report latencies", BenchCommand::new),
            new SubcommandDefinition("version", "print the version", VersionCommand::new));

    private Subcommands() {}

    private static Subcommand standin(String name) {
        return new StandinSubcommand(StandinMain.command(name));
    }

    /** Finds the subcommand whose words begin the command line. */
    public static Optional<SubcommandDefinition> find(List<String> commandLine) {
        return ALL.stream()
                .filter(definition -> definition.matches(commandLine))
                .findFirst();
    }
}
