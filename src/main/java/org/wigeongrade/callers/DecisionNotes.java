package org.wigeongrade.callers;

import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.nodes.entry.DecisionRecord;
import org.wigeongrade.nodes.entry.EntryRole;

/** Keeps the decisions about one request for operators who ask why. Thread safe. */
final class DecisionNotes {
    private final EntryRole entry;
    private final RequestId requestId;
    private final OrganisationName organisation;

    DecisionNotes(EntryRole entry, RequestId requestId, OrganisationName organisation) {
        this.entry = entry;
        this.requestId = requestId;
        this.organisation = organisation;
    }

    /** Adds a decision; {@code endpoint} is empty if it concerns none. */
    void add(String endpoint, String what, String why) {
        entry.decisions()
                .add(new DecisionRecord(
                        System.currentTimeMillis(), entry.self(), requestId, organisation, endpoint, what, why));
    }
}
