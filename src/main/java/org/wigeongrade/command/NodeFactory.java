package org.wigeongrade.command;

import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.settings.NodeSettings;

/** Creates the node that a settings file describes. Implementations are stateless. */
@FunctionalInterface
interface NodeFactory {
    NodeProcess create(NodeSettings settings, EventLog events, Metrics metrics);
}
