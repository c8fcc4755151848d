package org.wigeongrade.decisions.control;

/**
 * Digests of what a change asks for, without the time of its proposal, which differs in a resend. Stateless; safe for
 * use from any thread.
 */
final class ChangeDigest {
    private ChangeDigest() {}

    static String of(Command.ApplyConfiguration change) {
        return ControlCodec.digest(new Command.ApplyConfiguration(
                change.changeId(), change.operator(), change.baseRevision(), change.declaredSet(), 0));
    }

    static String of(Command.SetZoneState change) {
        return ControlCodec.digest(
                new Command.SetZoneState(change.changeId(), change.operator(), change.zone(), change.zoneState(), 0));
    }
}
