package org.wigeongrade.command;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.standin.StandinMain;

/** The subcommands of the program, in the order of the help. Immutable; safe for use from any thread. */
public final class Subcommands {
    /** Every subcommand; a new one is registered by one line here. */
    public static final ImmutableList<SubcommandEntry> ALL = ImmutableList.of(
            new SubcommandEntry("node", "run one node of the system", NodeCommand::new),
            new SubcommandEntry(
                    "fleet-node", "run a node of a fleet that finds itself through seeds", FleetNodeCommand::new),
            new SubcommandEntry(
                    "fleet-trial", "start one control and one entry node for some seconds", FleetTrialCommand::new),
            new SubcommandEntry("check", "check a declared set without publishing it", CheckCommand::new),
            new SubcommandEntry("apply", "check and publish a declared set", ApplyCommand::new),
            new SubcommandEntry("get", "print the configuration in force", GetCommand::new),
            new SubcommandEntry("status", "print nodes, groups and availability zones", StatusCommand::new),
            new SubcommandEntry("zone", "take an availability zone out or bring it in", ZoneCommand::new),
            new SubcommandEntry("why", "explain what was decided about an object", WhyCommand::new),
            new SubcommandEntry("stop", "stop one node gracefully", StopCommand::new),
            new SubcommandEntry("standin engine", "run a stand-in for an engine VM", () -> standin("engine")),
            new SubcommandEntry("standin service", "run a stand-in for a plain service", () -> standin("service")),
            new SubcommandEntry("standin weightstore", "run a stand-in weight store", () -> standin("weightstore")),
            new SubcommandEntry("bench", "send load to entry VMs and report latencies", BenchCommand::new),
            new SubcommandEntry("version", "print the version", VersionCommand::new));

    private Subcommands() {}

    private static Subcommand standin(String name) {
        return new StandinSubcommand(StandinMain.command(name));
    }

    /** Finds the entry whose words begin the command line. */
    public static Optional<SubcommandEntry> find(List<String> commandLine) {
        return ALL.stream().filter(entry -> entry.matches(commandLine)).findFirst();
    }
}
