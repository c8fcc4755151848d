package org.wigeongrade.decisions.limits;

/**
 * Checks whether an organisation uses more than its fair share (an equal part) of this VM's slots while they are nearly
 * used up, so that a large organisation leaves capacity for a small one. No organisation is limited while slots are
 * available. Stateless.
 */
public final class FairShareLimit {
    /** Fraction of the granted slots that must be in use for the fair share to be enforced. */
    private static final double CONGESTION_THRESHOLD = 0.9;

    private FairShareLimit() {}

    /**
     * Returns whether one more request of the organisation is refused as {@link AdmissionReason#FAIR_PART_EXCEEDED}.
     *
     * @param organisationInFlight requests of the organisation in flight from this VM for the target
     * @param activeOrganisations organisations that sent requests for the target through this VM in the last few
     *     seconds
     * @param slotsInUse this VM's slots in use over all endpoints of the target
     * @param slots this VM's granted slots over all endpoints of the target
     */
    public static boolean isExceeded(int organisationInFlight, int activeOrganisations, int slotsInUse, int slots) {
        if (slotsInUse < slots * CONGESTION_THRESHOLD) {
            return false;
        }
        int fairShare = Math.max(1, slots / Math.max(1, activeOrganisations));
        return organisationInFlight >= fairShare;
    }
}
