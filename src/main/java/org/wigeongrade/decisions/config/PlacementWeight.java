package org.wigeongrade.decisions.config;

/** What a pool's placement weighs most. */
public enum PlacementWeight {
    /** Keeps warm spare VMs so that a broken group is whole again soon. */
    GROUP_DOWNTIME,
    /** Packs VMs into groups so that few accelerators are held without serving. */
    STRANDED_ACCELERATORS;

    /** Returns the number of VMs to keep out of groups in each availability zone, given the declared number. */
    public int sparesToKeep(int declaredSpares) {
        return switch (this) {
            case GROUP_DOWNTIME -> declaredSpares;
            case STRANDED_ACCELERATORS -> 0;
        };
    }
}
