package org.wigeongrade.decisions.limits;

/** Whether an endpoint starts with its cold capacity or its full capacity when it is first seen. */
public enum WarmupState {
    COLD,
    WARM;

    /** Returns the slots with which the endpoint starts. */
    public int initialSlots(ResourceLimit limit) {
        return switch (this) {
            case COLD -> limit.coldSlots();
            case WARM -> limit.slots();
        };
    }
}
