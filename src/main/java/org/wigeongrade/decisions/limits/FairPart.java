package org.wigeongrade.decisions.limits;

/**
 * Finds an organisation that uses more than an equal part of this VM's slots while they are nearly used up, so that a
 * large organisation leaves room for a small one. Nothing is held back while there are slots to spare. Stateless.
 */
public final class FairPart {
    /** Part of the slots in use from which an equal part binds. */
    private static final double NEARLY_USED_UP = 0.9;

    private FairPart() {}

    /**
     * Returns whether one more request of the organisation is refused as {@link AdmissionReason#FAIR_PART_EXCEEDED}.
     *
     * @param organisationInFlight requests of the organisation in flight from this VM for the target
     * @param activeOrganisations organisations with requests for the target from this VM in the last seconds
     * @param slotsInUse this VM's slots in use over all endpoints of the target
     * @param slots this VM's granted slots over all endpoints of the target
     */
    public static boolean isExceeded(int organisationInFlight, int activeOrganisations, int slotsInUse, int slots) {
        if (slotsInUse < slots * NEARLY_USED_UP) {
            return false;
        }
        int part = Math.max(1, slots / Math.max(1, activeOrganisations));
        return organisationInFlight >= part;
    }
}
