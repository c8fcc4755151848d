package org.wigeongrade.callers;

import org.wigeongrade.decisions.limits.Slot;
import org.wigeongrade.decisions.outcomes.EndpointLife;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.errors.WigeongradeException;

/** Whether an attempt may be sent now. Immutable; safe for use from any thread. */
sealed interface Dispatch {
    /** The attempt may be sent to the endpoint under the slot, which must be given back when the attempt ends. */
    record Ready(EndpointView endpoint, Slot slot) implements Dispatch {
        EndpointLife life() {
            return new EndpointLife(endpoint.id(), endpoint.incarnation());
        }
    }

    /** The attempt was not sent. */
    record Refused(WigeongradeException failure) implements Dispatch {}
}
