package org.wigeongrade.nodes.entry;

import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.RequestId;

/**
 * A decision of an entry VM about a request. {@code endpoint} is empty if none was chosen. Immutable; safe for use from
 * any thread.
 */
public record DecisionRecord(
        long atEpochMs,
        NodeName node,
        RequestId request,
        OrganisationName organisation,
        String endpoint,
        String what,
        String why) {
    /**
     * Returns whether the decision is about the object with this kind (request, endpoint, group or organisation) and
     * id.
     */
    public boolean concerns(String kind, String id) {
        return switch (kind) {
            case "request" -> request.value().equals(id);
            case "endpoint", "group" -> endpoint.equals(id);
            case "organisation" -> organisation.value().equals(id);
            default -> false;
        };
    }
}
