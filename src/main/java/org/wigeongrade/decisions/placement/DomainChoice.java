package org.wigeongrade.decisions.placement;

/**
 * The fabric domain in which to form a group, or the reason why none can be used now. Immutable; safe for use from any
 * thread.
 */
sealed interface DomainChoice {
    /** The group is formed from free VMs of this domain. */
    record Chosen(DomainKey domain) implements DomainChoice {}

    /** The group stays unformed in this plan. */
    record NoDomain(PlacementReason reason) implements DomainChoice {}
}
