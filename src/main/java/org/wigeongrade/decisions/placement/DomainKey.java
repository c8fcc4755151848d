package org.wigeongrade.decisions.placement;

import java.util.Comparator;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;

/**
 * Identifies a fabric domain within its availability zone; sorted by zone, then domain. Immutable; safe for use from
 * any thread.
 */
record DomainKey(AvailabilityZone zone, FabricDomain domain) implements Comparable<DomainKey> {
    private static final Comparator<DomainKey> ORDER =
            Comparator.comparing(DomainKey::zone).thenComparing(DomainKey::domain);

    static DomainKey of(Announcement announcement) {
        return new DomainKey(announcement.zone(), announcement.fabricDomain());
    }

    @Override
    public int compareTo(DomainKey other) {
        return ORDER.compare(this, other);
    }
}
