package org.wigeongrade.command;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/** The subcommands of the program, in the order of the help. Immutable; safe for use from any thread. */
public final class Subcommands {
    /** Every subcommand; a new one is registered by one line here. */
    public static final ImmutableList<SubcommandEntry> ALL = ImmutableList.of(
            new SubcommandEntry("node", "run one node of the system", NodeCommand::new),
            new SubcommandEntry("check", "check a declared set without publishing it", CheckCommand::new),
            new SubcommandEntry("apply", "check and publish a declared set", ApplyCommand::new),
            new SubcommandEntry("get", "print the configuration in force", GetCommand::new),
            new SubcommandEntry("status", "print nodes, groups and availability zones", StatusCommand::new),
            new SubcommandEntry("zone", "take an availability zone out or bring it in", ZoneCommand::new),
            new SubcommandEntry("why", "explain what was decided about an object", WhyCommand::new),
            new SubcommandEntry("stop", "stop one node gracefully", StopCommand::new),
            new SubcommandEntry("version", "print the version", VersionCommand::new));

    private Subcommands() {}

    /** Finds the entry whose words begin the command line. */
    public static Optional<SubcommandEntry> find(List<String> commandLine) {
        return ALL.stream().filter(entry -> entry.matches(commandLine)).findFirst();
    }
}
