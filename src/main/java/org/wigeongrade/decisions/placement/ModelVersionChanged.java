package org.wigeongrade.decisions.placement;

import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;

/** Finds groups that hold another model version than their pool declares. Stateless. */
final class ModelVersionChanged implements DissolveRule {
    @Override
    public PlacementReason reason() {
        return PlacementReason.MODEL_VERSION_CHANGED;
    }

    @Override
    public boolean replacesServingGroup() {
        return true;
    }

    @Override
    public Optional<String> find(FormedGroup group, PlacementView view) {
        return view.declaredGroup(group.group())
                .filter(declared -> !declared.pool().modelVersion().equals(group.modelVersion()))
                .map(declared -> group.modelVersion() + " to " + declared.pool().modelVersion());
    }
}
