package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.ids.EndpointId;

/** One life of an endpoint: its id and the incarnation of its process. Immutable; safe for use from any thread. */
public record EndpointLife(EndpointId endpoint, long incarnation) {
    @Override
    public String toString() {
        return endpoint + "#" + incarnation;
    }
}
