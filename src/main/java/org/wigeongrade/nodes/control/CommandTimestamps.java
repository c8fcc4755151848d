package org.wigeongrade.nodes.control;

import org.wigeongrade.decisions.control.Command;

/**
 * Replaces the times in a proposed command with the leader's wall clock time, so that no other clock decides when
 * records expire. A deadline keeps its distance from the time of the proposal. Stateless; safe for use from any thread.
 */
final class CommandTimestamps {
    private CommandTimestamps() {}

    static Command withTimestamp(Command command, long nowEpochMs) {
        if (command instanceof Command.ApplyConfiguration apply) {
            return new Command.ApplyConfiguration(
                    apply.changeId(), apply.operator(), apply.baseRevision(), apply.declaredSet(), nowEpochMs);
        }
        if (command instanceof Command.SetZoneState set) {
            return new Command.SetZoneState(set.changeId(), set.operator(), set.zone(), set.zoneState(), nowEpochMs);
        }
        if (command instanceof Command.ClaimRequest claim) {
            return new Command.ClaimRequest(
                    claim.organisation(),
                    claim.idempotencyKey(),
                    claim.requestDigest(),
                    claim.requestId(),
                    claim.entryVm(),
                    nowEpochMs + claim.sendDeadlineEpochMs() - claim.proposedAtEpochMs(),
                    nowEpochMs);
        }
        if (command instanceof Command.FinishClaim finish) {
            return new Command.FinishClaim(
                    finish.organisation(),
                    finish.idempotencyKey(),
                    finish.requestId(),
                    finish.outcome(),
                    finish.answer(),
                    nowEpochMs);
        }
        return command;
    }
}
