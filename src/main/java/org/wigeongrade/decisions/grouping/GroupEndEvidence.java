package org.wigeongrade.decisions.grouping;

/** Why the head of a group that has ended cannot serve any more. Immutable; safe for use from any thread. */
public enum GroupEndEvidence {
    NEVER_OPENED("its head was never ordered to open"),
    HEAD_LEFT("its head answered that it is not in the group"),
    HEAD_REPLACED("another process responded at the address of its head, or a later one of its name elsewhere"),
    HEAD_BROKEN("its head reported that it is broken"),
    STALL_TIME_PASSED("a member left it longer ago than the time after which its head stops");

    private final String text;

    GroupEndEvidence(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
