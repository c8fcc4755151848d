package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.ids.EndpointId;

/**
 * One incarnation of an endpoint: its id and the incarnation number of its process. Immutable; safe for use from any
 * thread.
 */
public record EndpointIncarnation(EndpointId endpoint, long incarnation) {
    @Override
    public String toString() {
        return endpoint + "#" + incarnation;
    }
}
