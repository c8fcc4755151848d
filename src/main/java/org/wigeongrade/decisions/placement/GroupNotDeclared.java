package org.wigeongrade.decisions.placement;

import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;

/**
 * Finds groups that the declared set no longer contains. If a pool has fewer replicas than before, these are its
 * highest-numbered groups. Stateless.
 */
final class GroupNotDeclared implements DissolveRule {
    @Override
    public PlacementReason reason() {
        return PlacementReason.GROUP_NOT_DECLARED;
    }

    @Override
    public boolean replacesServingGroup() {
        return false;
    }

    @Override
    public Optional<String> find(FormedGroup group, PlacementView view) {
        final boolean stillDeclared = view.declaredGroup(group.group())
                .filter(declared -> declared.pool().name().equals(group.pool()))
                .isPresent();
        return stillDeclared ? Optional.empty() : Optional.of("pool " + group.pool());
    }
}
