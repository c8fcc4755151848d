package org.wigeongrade.decisions.routing;

import java.util.function.Predicate;
import org.wigeongrade.decisions.limits.HeldShares;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.ids.EndpointId;

/** Read-only view of this VM's slots at endpoints. Implementations are safe for use from any thread. */
public interface SlotTable {
    /** Returns whether a slot could be acquired now. */
    boolean hasFreeSlot(EndpointId endpoint, long nowNanos);

    /** Returns the number of this VM's requests in flight at the endpoint. */
    int inFlight(EndpointId endpoint);

    /** Returns whether this VM is running a suspect request at the endpoint, which must run there on its own. */
    boolean isReservedForSuspect(EndpointId endpoint);

    /**
     * Returns a view of {@code shares}; {@code runsSuspect} tests whether this VM is running a suspect request at an
     * endpoint.
     */
    static SlotTable of(HeldShares shares, Predicate<EndpointId> runsSuspect) {
        return new ShareSlotTable(shares, runsSuspect);
    }

    /** View of {@link HeldShares}. Safe for use from any thread. */
    record ShareSlotTable(HeldShares shares, Predicate<EndpointId> runsSuspect) implements SlotTable {
        @Override
        public boolean hasFreeSlot(EndpointId endpoint, long nowNanos) {
            return shares.hasFreeSlot(ShareKey.endpointSlots(endpoint), nowNanos);
        }

        @Override
        public int inFlight(EndpointId endpoint) {
            return shares.inUse(ShareKey.endpointSlots(endpoint));
        }

        @Override
        public boolean isReservedForSuspect(EndpointId endpoint) {
            return runsSuspect.test(endpoint);
        }
    }
}
