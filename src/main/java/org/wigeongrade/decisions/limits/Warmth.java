package org.wigeongrade.decisions.limits;

/** How much of its capacity an endpoint can bear when it is first seen. */
public enum Warmth {
    COLD,
    WARM;

    /** Returns the slots with which the endpoint begins. */
    public int firstSlots(ShareBound bound) {
        return switch (this) {
            case COLD -> bound.coldSlots();
            case WARM -> bound.slots();
        };
    }
}
