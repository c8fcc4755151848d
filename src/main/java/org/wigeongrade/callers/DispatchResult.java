package org.wigeongrade.callers;

import com.google.common.collect.ImmutableSet;
import org.wigeongrade.decisions.limits.Slot;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.PromptPartId;

/** Whether an attempt may be sent now, and to which endpoint. Immutable; safe for use from any thread. */
sealed interface DispatchResult {
    /**
     * The attempt may be sent to the endpoint; the slot is held for it and must be released when it ends.
     *
     * @param promptParts parts of the request's prompt that other requests may share
     */
    record Ready(EndpointView endpoint, Slot slot, ImmutableSet<PromptPartId> promptParts) implements DispatchResult {
        EndpointIncarnation incarnation() {
            return new EndpointIncarnation(endpoint.id(), endpoint.incarnation());
        }
    }

    /** The attempt must not be sent. */
    record Refused(WigeongradeException failure) implements DispatchResult {}
}
