package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Maps;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmWithdrawal;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.VmName;

/**
 * The published state: the configuration with the highest version, the availability zones that are out of service, the
 * endpoint VMs that said that they leave, and the groups whose heads may serve.
 *
 * <p>Invariant: neither the version nor the format ever decreases, the document of a version never changes, and of the
 * withdrawals of a VM only the one that includes the others is kept. Immutable; safe for use from any thread.
 */
public final class PublishedState {
    /** The state before anything was published. */
    public static final PublishedState EMPTY = new PublishedState(
            0, new byte[0], ImmutableSortedSet.of(), CommandFormat.BASE, ImmutableMap.of(), RecordedGroups.EMPTY);

    /** Withdrawals that are kept; several times the VMs of the largest fleet that leave before heartbeats expire. */
    private static final int MAX_WITHDRAWALS = 2_048;

    private final long version;
    private final byte[] document;
    private final ImmutableSortedSet<AvailabilityZone> zonesOut;
    private final int format;
    /** The latest withdrawal of each VM, in the order in which they were made. */
    private final ImmutableMap<VmName, VmWithdrawal> withdrawals;

    private final RecordedGroups groups;

    private PublishedState(
            long version,
            byte[] document,
            ImmutableSortedSet<AvailabilityZone> zonesOut,
            int format,
            ImmutableMap<VmName, VmWithdrawal> withdrawals,
            RecordedGroups groups) {
        this.version = version;
        this.document = document;
        this.zonesOut = zonesOut;
        this.format = format;
        this.withdrawals = withdrawals;
        this.groups = groups;
    }

    static PublishedState of(
            long version,
            byte[] document,
            Iterable<AvailabilityZone> zonesOut,
            int format,
            List<VmWithdrawal> withdrawals,
            List<RecordedGroup> groups) {
        return new PublishedState(
                version,
                document.clone(),
                ImmutableSortedSet.copyOf(zonesOut),
                format,
                Maps.uniqueIndex(withdrawals, withdrawal -> withdrawal.vm().vm()),
                RecordedGroups.of(groups));
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

    /** Returns the format of the commands that may be proposed, see {@link CommandFormat}. */
    public int format() {
        return format;
    }

    ImmutableCollection<VmWithdrawal> withdrawals() {
        return withdrawals.values();
    }

    /** Returns the groups whose heads may serve; complete only from {@link CommandFormat#GROUPS} on. */
    public RecordedGroups groups() {
        return groups;
    }

    /** Returns whether the VM said, in the heartbeat or after it, that it leaves. */
    public boolean isWithdrawn(VmHeartbeat heartbeat) {
        return isWithdrawn(VmWithdrawal.draining(heartbeat));
    }

    /** Returns whether the withdrawal, or one that includes it, is part of this state. */
    public boolean isWithdrawn(VmWithdrawal withdrawal) {
        final VmWithdrawal latest = withdrawals.get(withdrawal.vm().vm());
        return latest != null && latest.includes(withdrawal);
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
                ? new PublishedState(newVersion, newDocument.clone(), zonesOut, format, withdrawals, groups)
                : this;
    }

    PublishedState withZone(AvailabilityZone zone, boolean out) {
        final ImmutableSortedSet.Builder<AvailabilityZone> zones = ImmutableSortedSet.naturalOrder();
        zonesOut.stream().filter(other -> !other.equals(zone)).forEach(zones::add);
        if (out) {
            zones.add(zone);
        }
        return new PublishedState(version, document, zones.build(), format, withdrawals, groups);
    }

    PublishedState withGroups(RecordedGroups newGroups) {
        return newGroups == groups
                ? this
                : new PublishedState(version, document, zonesOut, format, withdrawals, newGroups);
    }

    PublishedState withFormat(int newFormat) {
        return new PublishedState(version, document, zonesOut, Math.max(format, newFormat), withdrawals, groups);
    }

    PublishedState withWithdrawal(VmWithdrawal withdrawal) {
        if (isWithdrawn(withdrawal)) {
            return this;
        }
        final Map<VmName, VmWithdrawal> updated = new LinkedHashMap<>(withdrawals);
        updated.remove(withdrawal.vm().vm());
        updated.put(withdrawal.vm().vm(), withdrawal);
        if (updated.size() > MAX_WITHDRAWALS) {
            updated.remove(updated.keySet().iterator().next());
        }
        return new PublishedState(version, document, zonesOut, format, ImmutableMap.copyOf(updated), groups);
    }
}
