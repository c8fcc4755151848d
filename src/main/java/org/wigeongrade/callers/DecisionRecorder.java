package org.wigeongrade.callers;

import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.RequestId;
import org.wigeongrade.nodes.entry.DecisionRecord;
import org.wigeongrade.nodes.entry.EntryRole;

/** Records the decisions about one request, so that operators can ask why it was handled as it was. Thread safe. */
final class DecisionRecorder {
    private final EntryRole entry;
    private final RequestId requestId;
    private final OrganisationName organisation;

    DecisionRecorder(EntryRole entry, RequestId requestId, OrganisationName organisation) {
        this.entry = entry;
        this.requestId = requestId;
        this.organisation = organisation;
    }

    /** Records a decision; {@code endpoint} is empty if the decision concerns no endpoint. */
    void add(String endpoint, String what, String why) {
        entry.decisions()
                .add(new DecisionRecord(
                        System.currentTimeMillis(), entry.self(), requestId, organisation, endpoint, what, why));
    }
}
