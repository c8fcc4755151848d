package org.wigeongrade.decisions.placement;

import java.util.Comparator;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;

/** A fabric domain within its availability zone. Immutable; safe for use from any thread. */
record DomainKey(AvailabilityZone zone, FabricDomain domain) implements Comparable<DomainKey> {
    private static final Comparator<DomainKey> ORDER =
            Comparator.comparing(DomainKey::zone).thenComparing(DomainKey::domain);

    static DomainKey of(Announcement said) {
        return new DomainKey(said.zone(), said.fabricDomain());
    }

    @Override
    public int compareTo(DomainKey other) {
        return ORDER.compare(this, other);
    }
}
