package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Arrays;
import java.util.Optional;
import org.wigeongrade.ids.AvailabilityZone;

/**
 * The published state: the configuration with the highest version, and the availability zones that are out of service.
 *
 * <p>Invariant: the version never decreases, and the document of a version never changes. Immutable; safe for use from
 * any thread.
 */
public final class PublishedState {
    /** The state before anything was published. */
    public static final PublishedState EMPTY = new PublishedState(0, new byte[0], ImmutableSortedSet.of());

    private final long version;
    private final byte[] document;
    private final ImmutableSortedSet<AvailabilityZone> zonesOut;

    private PublishedState(long version, byte[] document, ImmutableSortedSet<AvailabilityZone> zonesOut) {
        this.version = version;
        this.document = document;
        this.zonesOut = zonesOut;
    }

    static PublishedState of(long version, byte[] document, Iterable<AvailabilityZone> zonesOut) {
        return new PublishedState(version, document.clone(), ImmutableSortedSet.copyOf(zonesOut));
    }

    /** Returns the version in force; 0 before the first one. */
    public long version() {
        return version;
    }

    /** Returns the document as it was published; empty before the first one. */
    public Optional<byte[]> document() {
        return version == 0 ? Optional.empty() : Optional.of(document.clone());
    }

    public ImmutableSortedSet<AvailabilityZone> zonesOut() {
        return zonesOut;
    }

    /** Returns the outcome that publishing the document under the version would have, without publishing it. */
    public PublishOutcome outcomeOf(long newVersion, byte[] newDocument) {
        if (newVersion > version) {
            return PublishOutcome.IN_FORCE;
        }
        return newVersion == version && !Arrays.equals(document, newDocument)
                ? PublishOutcome.VERSION_TAKEN
                : PublishOutcome.UNCHANGED;
    }

    PublishedState publish(long newVersion, byte[] newDocument) {
        return outcomeOf(newVersion, newDocument) == PublishOutcome.IN_FORCE
                ? new PublishedState(newVersion, newDocument.clone(), zonesOut)
                : this;
    }

    PublishedState withZone(AvailabilityZone zone, boolean out) {
        final ImmutableSortedSet.Builder<AvailabilityZone> zones = ImmutableSortedSet.naturalOrder();
        zonesOut.stream().filter(other -> !other.equals(zone)).forEach(zones::add);
        if (out) {
            zones.add(zone);
        }
        return new PublishedState(version, document, zones.build());
    }
}
