package org.wigeongrade.decisions.grouping;

/** Why a VM that is in no managed group may join one. Immutable; safe for use from any thread. */
public enum VmFreedom {
    GROUP_ENDED("this leader saw its latest group end"),
    KEPT_SPARE("it is a spare, or reports a group that has ended"),
    NEVER_JOINED("it has no weights, so it has joined no group"),
    STALL_TIME_PASSED("no head of an earlier leader can wait for it any more"),
    JUST_STARTED("it was first heard long after the start of the term");

    private final String text;

    VmFreedom(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
