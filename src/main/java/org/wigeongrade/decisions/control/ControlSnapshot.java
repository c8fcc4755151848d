package org.wigeongrade.decisions.control;

import java.util.List;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.outcomes.Claim;
import org.wigeongrade.decisions.outcomes.Quarantine;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.Revision;

/**
 * The whole state of {@link ControlState} at one log position.
 *
 * <p>Invariant: two states that applied the same commands have equal snapshots, and {@link ControlCodec} encodes them
 * to equal bytes. Immutable; safe for use from any thread.
 */
public record ControlSnapshot(
        long appliedIndex,
        long nowEpochMs,
        Revision revision,
        DeclaredSet declaredSet,
        FencingToken lastFencingToken,
        List<ZoneEntry> zones,
        List<FormedGroup> groups,
        List<GroupName> dissolvedGroups,
        List<ChangeResult> changeAnswers,
        List<ConfigurationChange> changes,
        List<Decision> decisions,
        List<Claim> claims,
        List<Quarantine> quarantines) {
    public ControlSnapshot {
        zones = List.copyOf(zones);
        groups = List.copyOf(groups);
        dissolvedGroups = List.copyOf(dissolvedGroups);
        changeAnswers = List.copyOf(changeAnswers);
        changes = List.copyOf(changes);
        decisions = List.copyOf(decisions);
        claims = List.copyOf(claims);
        quarantines = List.copyOf(quarantines);
    }
}
