package org.wigeongrade.decisions.control;

/**
 * Computes the digest of a change's content. It leaves out the proposal time, which differs when a change is sent
 * again. Stateless; safe for use from any thread.
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
