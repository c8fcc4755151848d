package org.wigeongrade.ids;

/**
 * One life of a VM's endpoint process: the VM's name and the incarnation number it announced.
 *
 * <p>Invariant: a restarted process announces a larger incarnation. Immutable; safe for use from any thread.
 */
public record VmIncarnation(VmName vm, long incarnation) {
    @Override
    public String toString() {
        return vm + "#" + incarnation;
    }
}
