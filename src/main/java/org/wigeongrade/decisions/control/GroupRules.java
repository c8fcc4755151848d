package org.wigeongrade.decisions.control;

import java.util.Optional;
import org.wigeongrade.decisions.config.DeclaredGroup;
import org.wigeongrade.decisions.config.DeclaredGroups;
import org.wigeongrade.decisions.config.DeclaredSet;

/**
 * Checks a command to form a group against the declared set and the zone states. Immutable; safe for use from any
 * thread.
 */
record GroupRules(DeclaredSet declaredSet, ZoneTable zones) {
    Optional<GroupRefusal> check(Command.FormGroup command) {
        if (DeclaredGroups.pool(declaredSet, command.pool()).isEmpty()) {
            return Optional.of(GroupRefusal.POOL_NOT_DECLARED);
        }
        return DeclaredGroups.find(declaredSet, command.pool(), command.group())
                .map(declared -> check(command, declared))
                .orElse(Optional.of(GroupRefusal.GROUP_NOT_DECLARED));
    }

    private Optional<GroupRefusal> check(Command.FormGroup command, DeclaredGroup declared) {
        if (!declared.pool().modelVersion().equals(command.modelVersion())) {
            return Optional.of(GroupRefusal.WRONG_MODEL_VERSION);
        }
        if (declared.pool().vmsPerReplica() != command.members().size()) {
            return Optional.of(GroupRefusal.WRONG_SIZE);
        }
        if (!declared.allows(command.zone())) {
            return Optional.of(GroupRefusal.WRONG_ZONE);
        }
        if (!zones.stateOf(command.zone()).takesNewWork()) {
            return Optional.of(GroupRefusal.ZONE_OUT);
        }
        return Optional.empty();
    }
}
