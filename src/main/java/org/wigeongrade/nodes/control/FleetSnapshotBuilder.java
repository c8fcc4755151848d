package org.wigeongrade.nodes.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ModelVersionDeclaration;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.config.ServiceDeclaration;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.decisions.limits.ShareAllocator;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.decisions.membership.AnnouncementTable;
import org.wigeongrade.decisions.membership.EndpointKind;
import org.wigeongrade.decisions.membership.ServingLease;
import org.wigeongrade.decisions.membership.ServingLeases;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.thrift.EndpointRecord;
import org.wigeongrade.nodes.thrift.LoadRecord;

/**
 * Determines which endpoints may serve, from the replicated state and the announcements.
 *
 * <p>Endpoints in availability zones that are out of service are included: entry VMs exclude them according to the
 * configuration that they have in force. Not thread safe; each instance is used for one call.
 */
final class FleetSnapshotBuilder {
    private final DeclaredSet declaredSet;
    private final List<FormedGroup> groups;
    private final long appliedIndex;
    private final AnnouncementTable announcements;
    private final ShareAllocator shares;
    private final Map<NodeName, String> callerAddresses;
    private final long announcementLeaseNanos;
    private final long nowNanos;

    private final ImmutableList.Builder<EndpointRecord> endpoints = ImmutableList.builder();
    private final ImmutableMap.Builder<String, Long> servingDeadlinesNanos = ImmutableMap.builder();
    private final ImmutableList.Builder<LoadRecord> loads = ImmutableList.builder();
    private final ImmutableMap.Builder<String, String> notServing = ImmutableMap.builder();

    private FleetSnapshotBuilder(
            ControlState state,
            AnnouncementTable announcements,
            ShareAllocator shares,
            Map<NodeName, String> callerAddresses,
            long announcementLeaseNanos,
            long nowNanos) {
        this.appliedIndex = state.appliedIndex();
        this.declaredSet = state.declaredSet();
        this.groups = state.groups();
        this.announcements = announcements;
        this.shares = shares;
        this.callerAddresses = callerAddresses;
        this.announcementLeaseNanos = announcementLeaseNanos;
        this.nowNanos = nowNanos;
    }

    /** Takes the snapshot at {@code nowNanos}. */
    static FleetSnapshot take(
            ControlState state,
            AnnouncementTable announcements,
            ShareAllocator shares,
            Map<NodeName, String> callerAddresses,
            long announcementLeaseNanos,
            long nowNanos) {
        return new FleetSnapshotBuilder(state, announcements, shares, callerAddresses, announcementLeaseNanos, nowNanos)
                .take();
    }

    private FleetSnapshot take() {
        groups.forEach(this::addGroup);
        announcements.live(nowNanos).stream()
                .filter(announcement -> announcement.kind() == EndpointKind.SERVICE)
                .forEach(this::addService);
        final ImmutableList<EndpointRecord> records = endpoints.build();
        return new FleetSnapshot(
                nowNanos,
                appliedIndex,
                digest(records),
                records,
                servingDeadlinesNanos.buildOrThrow(),
                loads.build(),
                notServing.buildOrThrow());
    }

    private void addGroup(FormedGroup group) {
        final Optional<PoolDeclaration> pool = declaredSet.pools().stream()
                .filter(declared -> declared.name().equals(group.pool()))
                .findFirst();
        if (pool.isEmpty()) {
            notServing.put(group.group().value(), "pool '" + group.pool() + "' is no longer declared");
            return;
        }
        final Map<AvailabilityZone, ZoneState> allZonesIn = Map.of();
        final ServingLease lease = ServingLeases.of(group, allZonesIn, announcements, nowNanos);
        if (lease instanceof ServingLease.Refused refused) {
            notServing.put(group.group().value(), refused.message());
            return;
        }
        final Announcement firstMember =
                announcements.live(group.firstMember().vm(), nowNanos).orElseThrow();
        final EndpointRecord record = commonRecord(group.group().value(), firstMember, lease);
        record.setKind(EndpointKind.ENGINE.label());
        record.setTarget(modelOf(group.modelVersion(), pool.get()));
        record.setModelVersion(group.modelVersion().value());
        record.setAvailabilityZone(group.zone().value());
        record.setCapacity(pool.get().capacity());
        record.setColdCapacity(pool.get().coldCapacity());
        record.setLongestRunMs(pool.get().longestRunMs());
        record.setMembers(
                group.members().stream().map(member -> member.vm().value()).toList());
        record.setFencingTerm(group.fencingToken().term());
        record.setFencingSequence(group.fencingToken().sequence());
        add(record, firstMember, lease);
    }

    private void addService(Announcement announcement) {
        final Optional<ServiceDeclaration> service = declaredSet.services().stream()
                .filter(declared ->
                        announcement.service().filter(declared.name()::equals).isPresent())
                .findFirst();
        final ServingLease lease = ServingLeases.ofService(announcement, Map.of());
        if (service.isEmpty() || lease instanceof ServingLease.Refused) {
            return;
        }
        final EndpointRecord record = commonRecord(announcement.vm().vm().value(), announcement, lease);
        record.setKind(EndpointKind.SERVICE.label());
        record.setTarget(service.get().name().value());
        record.setModelVersion("");
        record.setAvailabilityZone(announcement.zone().value());
        record.setCapacity(service.get().capacity());
        record.setColdCapacity(service.get().coldCapacity());
        record.setLongestRunMs(service.get().longestRunMs());
        record.setMembers(List.of(announcement.vm().vm().value()));
        add(record, announcement, lease);
    }

    private EndpointRecord commonRecord(String id, Announcement announcement, ServingLease lease) {
        final EndpointRecord record = new EndpointRecord();
        record.setId(id);
        record.setAddress(announcement.address());
        record.setCold(lease instanceof ServingLease.Serving serving && serving.cold());
        record.setIncarnation(announcement.vm().incarnation());
        final Optional<NodeName> coldHolder = shares.coldHolder(ShareKey.endpointSlots(new EndpointId(id)));
        record.setColdHolder(coldHolder.map(NodeName::value).orElse(""));
        record.setColdHolderAddress(coldHolder.map(callerAddresses::get).orElse(""));
        return record;
    }

    private void add(EndpointRecord record, Announcement announcement, ServingLease lease) {
        endpoints.add(record);
        servingDeadlinesNanos.put(record.getId(), lease.deadlineNanos().orElseThrow());
        final long receivedNanos = announcement.leaseDeadlineNanos() - announcementLeaseNanos;
        loads.add(new LoadRecord(
                record.getId(), announcement.running(), announcement.waiting(), Math.max(0, nowNanos - receivedNanos)));
    }

    /**
     * Returns the model name that callers ask for. If the version is no longer declared, uses the version that the pool
     * declares.
     */
    private String modelOf(ModelVersionName version, PoolDeclaration pool) {
        return declaredModel(version)
                .or(() -> declaredModel(pool.modelVersion()))
                .orElse(version.value());
    }

    private Optional<String> declaredModel(ModelVersionName version) {
        return declaredSet.modelVersions().stream()
                .filter(declared -> declared.name().equals(version))
                .map(ModelVersionDeclaration::model)
                .findFirst();
    }

    private static long digest(List<EndpointRecord> records) {
        final Hasher hasher = Hashing.murmur3_128().newHasher();
        records.forEach(record -> hasher.putString(record.toString(), StandardCharsets.UTF_8));
        return hasher.hash().asLong();
    }
}
