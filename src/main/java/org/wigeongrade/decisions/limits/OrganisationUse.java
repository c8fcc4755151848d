package org.wigeongrade.decisions.limits;

import com.google.common.collect.HashBasedTable;
import com.google.common.collect.Table;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.ids.OrganisationName;

/**
 * This VM's requests in flight by target and organisation, for the equal part of each organisation.
 *
 * <p>Invariant: counts never fall below 0; an organisation is active on a target while it has requests in flight there or
 * asked within the last {@code activeNanos}.
 *
 * <p>Thread safety: all methods lock the table, which is a leaf: nothing else is locked inside.
 */
public final class OrganisationUse {
    private final long activeNanos;
    private final Table<String, OrganisationName, Use> uses = HashBasedTable.create();

    private static final class Use {
        private int inFlight;
        private long activeUntilNanos;
    }

    /** @param activeNanos time for which an organisation counts as active after it last asked */
    public OrganisationUse(long activeNanos) {
        this.activeNanos = activeNanos;
    }

    /**
     * Returns why one more request of the organisation is refused; empty if it may go on.
     *
     * @param slotsInUse this VM's slots in use over all endpoints of the target
     * @param slots this VM's granted slots over all endpoints of the target
     */
    public synchronized Optional<AdmissionReason> refusal(
            String target, OrganisationName organisation, int slotsInUse, int slots, long nowNanos) {
        Use use = use(target, organisation);
        use.activeUntilNanos = nowNanos + activeNanos;
        Map<OrganisationName, Use> ofTarget = uses.row(target);
        ofTarget.values().removeIf(other -> other.inFlight == 0 && nowNanos - other.activeUntilNanos > 0);
        boolean exceeded = FairPart.isExceeded(use.inFlight, ofTarget.size(), slotsInUse, slots);
        return exceeded ? Optional.of(AdmissionReason.FAIR_PART_EXCEEDED) : Optional.empty();
    }

    /** Counts a request that took a slot. */
    public synchronized void begin(String target, OrganisationName organisation) {
        use(target, organisation).inFlight++;
    }

    /** Counts the end of a request that took a slot. */
    public synchronized void end(String target, OrganisationName organisation) {
        Use use = use(target, organisation);
        use.inFlight = Math.max(0, use.inFlight - 1);
    }

    private Use use(String target, OrganisationName organisation) {
        Use known = uses.get(target, organisation);
        if (known != null) {
            return known;
        }
        Use added = new Use();
        uses.put(target, organisation, added);
        return added;
    }
}
