package org.wigeongrade.decisions.limits;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Whether an organisation's request may go on. Immutable; safe for use from any thread. */
public sealed interface AdmissionDecision {
    /** The request may go on; {@code slots} are given back by {@link OrganisationAdmission#finish}. */
    record Admitted(List<Slot> slots) implements AdmissionDecision {
        public Admitted {
            slots = ImmutableList.copyOf(slots);
        }
    }

    /** The request was not run; the caller may come back after {@code retryAfterMs}. */
    record Refused(AdmissionReason reason, long retryAfterMs) implements AdmissionDecision {}
}
