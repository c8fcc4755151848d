package org.wigeongrade.decisions.outcomes;

import java.util.Comparator;
import org.wigeongrade.ids.OrganisationName;

/** An idempotency key within its organisation. Immutable; safe for use from any thread. */
record ClaimKey(OrganisationName organisation, String idempotencyKey) implements Comparable<ClaimKey> {
    private static final Comparator<ClaimKey> ORDER =
            Comparator.comparing(ClaimKey::organisation).thenComparing(ClaimKey::idempotencyKey);

    static ClaimKey of(Claim claim) {
        return new ClaimKey(claim.organisation(), claim.idempotencyKey());
    }

    @Override
    public int compareTo(ClaimKey other) {
        return ORDER.compare(this, other);
    }
}
