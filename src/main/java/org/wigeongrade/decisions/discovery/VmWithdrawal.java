package org.wigeongrade.decisions.discovery;

import org.wigeongrade.ids.VmIncarnation;

/**
 * A VM's statement that it leaves. It covers all heartbeats of earlier incarnations, and those of the stated incarnation
 * up to a sequence number: a later one that says that the VM stays revokes it. Immutable; safe for use from any thread.
 */
public record VmWithdrawal(VmIncarnation vm, long lastSequence) {
    private static final long EVERY_SEQUENCE = Long.MAX_VALUE;

    /** Returns the withdrawal of a VM that reports that it is draining. */
    public static VmWithdrawal draining(VmHeartbeat heartbeat) {
        return new VmWithdrawal(heartbeat.vm(), heartbeat.sequence());
    }

    /**
     * Returns the withdrawal of a VM that has deregistered, which no heartbeat of its incarnation revokes; throws {@link
     * IllegalArgumentException} if the incarnation is not one that a heartbeat may state.
     */
    public static VmWithdrawal deregistered(VmIncarnation vm) {
        HeartbeatBounds.INCARNATION.check(vm.incarnation());
        return new VmWithdrawal(vm, EVERY_SEQUENCE);
    }

    /** Returns whether every heartbeat that {@code other} covers is covered by this withdrawal as well. */
    public boolean includes(VmWithdrawal other) {
        return vm.vm().equals(other.vm.vm())
                && (other.vm.incarnation() < vm.incarnation()
                        || (other.vm.incarnation() == vm.incarnation() && other.lastSequence <= lastSequence));
    }
}
