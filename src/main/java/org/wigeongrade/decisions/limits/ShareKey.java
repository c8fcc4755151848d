package org.wigeongrade.decisions.limits;

import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.OrganisationName;

/**
 * Identifies a limited resource: its kind and the endpoint or organisation. Immutable; safe for use from any thread.
 */
public record ShareKey(ShareKind kind, String name) implements Comparable<ShareKey> {
    /** Returns the key for the requests in flight at an endpoint. */
    public static ShareKey endpointSlots(EndpointId endpoint) {
        return new ShareKey(ShareKind.ENDPOINT_SLOTS, endpoint.value());
    }

    /** Returns the key for the requests in flight of an organisation. */
    public static ShareKey inFlight(OrganisationName organisation) {
        return new ShareKey(ShareKind.ORGANISATION_IN_FLIGHT, organisation.value());
    }

    /** Returns the key for the requests that an organisation may start per second. */
    public static ShareKey requestRate(OrganisationName organisation) {
        return new ShareKey(ShareKind.ORGANISATION_REQUEST_RATE, organisation.value());
    }

    /** Returns the key for the tokens that an organisation may use per minute. */
    public static ShareKey tokensPerMinute(OrganisationName organisation) {
        return new ShareKey(ShareKind.ORGANISATION_TOKENS_PER_MINUTE, organisation.value());
    }

    @Override
    public int compareTo(ShareKey other) {
        int byKind = kind.compareTo(other.kind);
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return kind.code() + "/" + name;
    }
}
