package org.wigeongrade.decisions.placement;

/** Where a group is to be formed, or why it cannot be formed now. Immutable; safe for use from any thread. */
sealed interface DomainChoice {
    /** Form the group of free VMs of this domain. */
    record Chosen(DomainKey domain) implements DomainChoice {}

    /** Form it later. */
    record None(PlacementReason reason) implements DomainChoice {}
}
