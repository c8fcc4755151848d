package org.wigeongrade.decisions.limits;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Whether an organisation's request is admitted. Immutable; safe for use from any thread. */
public sealed interface AdmissionDecision {
    /** The request is admitted; {@link OrganisationAdmission#finish} releases its {@code slots}. */
    record Admitted(List<Slot> slots) implements AdmissionDecision {
        public Admitted {
            slots = ImmutableList.copyOf(slots);
        }
    }

    /** The request was not run; the caller may retry after {@code retryAfterMs}. */
    record Refused(AdmissionReason reason, long retryAfterMs) implements AdmissionDecision {}
}
