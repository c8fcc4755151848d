package org.wigeongrade.decisions.limits;

import com.google.common.collect.HashBasedTable;
import com.google.common.collect.Table;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.ids.OrganisationName;

/**
 * Counts this VM's requests in flight by target and organisation, to enforce each organisation's fair share.
 *
 * <p>Invariant: counts never fall below 0. An organisation is active on a target while it has requests in flight there
 * or has sent a request within the last {@code activeNanos}.
 *
 * <p>Thread safety: every method locks this object and acquires no other lock while holding it.
 */
public final class OrganisationUsage {
    private final long activeNanos;
    private final Table<String, OrganisationName, Usage> usages = HashBasedTable.create();

    private static final class Usage {
        private int inFlight;
        private long activeUntilNanos;
    }

    /** @param activeNanos how long an organisation counts as active after its last request, in nanoseconds */
    public OrganisationUsage(long activeNanos) {
        this.activeNanos = activeNanos;
    }

    /**
     * Returns why one more request of the organisation is refused; empty if it may proceed.
     *
     * @param slotsInUse this VM's slots in use over all endpoints of the target
     * @param slots this VM's granted slots over all endpoints of the target
     */
    public synchronized Optional<AdmissionReason> refusal(
            String target, OrganisationName organisation, int slotsInUse, int slots, long nowNanos) {
        Usage usage = usage(target, organisation);
        usage.activeUntilNanos = nowNanos + activeNanos;
        Map<OrganisationName, Usage> ofTarget = usages.row(target);
        ofTarget.values().removeIf(other -> other.inFlight == 0 && nowNanos - other.activeUntilNanos > 0);
        boolean exceeded = FairShareLimit.isExceeded(usage.inFlight, ofTarget.size(), slotsInUse, slots);
        return exceeded ? Optional.of(AdmissionReason.FAIR_PART_EXCEEDED) : Optional.empty();
    }

    /** Counts a request that acquired a slot. */
    public synchronized void begin(String target, OrganisationName organisation) {
        usage(target, organisation).inFlight++;
    }

    /** Counts the end of a request that acquired a slot. */
    public synchronized void end(String target, OrganisationName organisation) {
        Usage usage = usage(target, organisation);
        usage.inFlight = Math.max(0, usage.inFlight - 1);
    }

    private Usage usage(String target, OrganisationName organisation) {
        Usage existing = usages.get(target, organisation);
        if (existing != null) {
            return existing;
        }
        Usage added = new Usage();
        usages.put(target, organisation, added);
        return added;
    }
}
