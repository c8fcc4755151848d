package org.wigeongrade.decisions.placement;

import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;

/** Finds groups in an availability zone that their declaration no longer allows. Stateless. */
final class ZoneNotAllowed implements DissolveRule {
    @Override
    public PlacementReason reason() {
        return PlacementReason.ZONE_NOT_ALLOWED;
    }

    @Override
    public boolean replacesServingGroup() {
        return true;
    }

    @Override
    public Optional<String> find(FormedGroup group, PlacementView view) {
        return view.declaredGroup(group.group())
                .filter(declared -> !declared.allows(group.zone()))
                .map(declared -> "availability zone " + group.zone());
    }
}
