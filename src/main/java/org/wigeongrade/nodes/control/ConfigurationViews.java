package org.wigeongrade.nodes.control;

import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.control.PlacementState;
import org.wigeongrade.decisions.control.ZoneEntry;
import org.wigeongrade.nodes.ConfigurationView;

/**
 * Builds the view of one revision of the configuration from the control state. Stateless; safe for use from any
 * thread.
 */
final class ConfigurationViews {
    private ConfigurationViews() {}

    static ConfigurationView of(ControlState state) {
        final PlacementState facts = state.placementState();
        return new ConfigurationView(
                facts.revision(),
                facts.declaredSet(),
                facts.zones().entrySet().stream()
                        .map(entry -> new ZoneEntry(entry.getKey(), entry.getValue()))
                        .toList());
    }
}
