package org.wigeongrade.decisions.routing;

import java.util.function.Predicate;
import org.wigeongrade.decisions.limits.ShareHolder;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.ids.EndpointId;

/** Read side of this VM's slots at endpoints. Implementations are safe for use from any thread. */
public interface SlotTable {
    /** Returns whether a slot could be taken now. */
    boolean hasFreeSlot(EndpointId endpoint, long nowNanos);

    /** Returns this VM's requests in flight at the endpoint. */
    int inFlight(EndpointId endpoint);

    /** Returns whether this VM runs a request there that must be alone. */
    boolean isReservedForSuspect(EndpointId endpoint);

    /** Returns a table that reads the shares; {@code suspects} tells which endpoints run a suspect alone. */
    static SlotTable of(ShareHolder shares, Predicate<EndpointId> suspects) {
        return new ShareSlotTable(shares, suspects);
    }

    /** Reads {@link ShareHolder}. Safe for use from any thread. */
    record ShareSlotTable(ShareHolder shares, Predicate<EndpointId> suspects) implements SlotTable {
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
            return suspects.test(endpoint);
        }
    }
}
