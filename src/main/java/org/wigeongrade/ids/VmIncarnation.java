package org.wigeongrade.ids;

/**
 * One run of a VM's endpoint process: the VM's name and the incarnation number that the process announced.
 *
 * <p>Invariant: a restarted process announces a larger incarnation. Immutable; safe for use from any thread.
 */
public record VmIncarnation(VmName vm, long incarnation) {
    @Override
    public String toString() {
        return vm + "#" + incarnation;
    }
}
