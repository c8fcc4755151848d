package org.wigeongrade.command;

import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.settings.NodeSettings;

/** Creates the node that a settings file describes. Implementations are stateless. */
@FunctionalInterface
interface NodeFactory {
    NodeProcess create(NodeSettings settings, EventLog events, Metrics metrics);

    /** Refuses, since this build holds no node. */
    NodeFactory ABSENT = (settings, events, metrics) -> {
        throw new CommandException(
                ExitCode.INTERNAL,
                "no_node",
                "this build cannot run node " + settings.name(),
                "use a build that holds the node");
    };
}
