package org.wigeongrade.decisions.membership;

import java.util.Map;
import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Decides whether groups and plain services may serve.
 *
 * <p>Invariant: a serving lease ends no later than the earliest announcement lease of the members, and a group has none
 * while any member is missing. Stateless; safe for use from any thread.
 */
public final class ServingLeases {
    private ServingLeases() {}

    /** Returns the serving lease of a formed group at {@code nowNanos}, on the clock of the announcement table. */
    public static ServingLease of(
            FormedGroup group, Map<AvailabilityZone, ZoneState> zones, AnnouncementTable announcements, long nowNanos) {
        if (!takesNewWork(zones, group.zone())) {
            return new ServingLease.Refused(NotServingReason.ZONE_OUT, Optional.empty());
        }
        long untilNanos = Long.MAX_VALUE;
        boolean cold = false;
        for (final VmIncarnation member : group.members()) {
            final Optional<Announcement> announcement = announcements.live(member.vm(), nowNanos);
            final Optional<NotServingReason> reason = firstReason(group, member, announcement);
            if (reason.isPresent()) {
                return new ServingLease.Refused(reason.get(), Optional.of(member.vm()));
            }
            final Announcement announced = announcement.orElseThrow();
            untilNanos = Math.min(untilNanos, announced.leaseDeadlineNanos());
            cold |= announced.state() == EndpointState.COLD;
        }
        return new ServingLease.Serving(untilNanos, cold);
    }

    /** Returns when a group's serving lease ends, in nanoseconds; empty if it may not serve. */
    public static Optional<Long> servingDeadlineNanos(
            FormedGroup group, Map<AvailabilityZone, ZoneState> zones, AnnouncementTable announcements, long nowNanos) {
        return of(group, zones, announcements, nowNanos).deadlineNanos().stream()
                .boxed()
                .findFirst();
    }

    /**
     * Returns the serving lease of a plain service's VM, which serves alone. The caller passes an announcement whose
     * own lease is valid.
     */
    public static ServingLease ofService(Announcement announcement, Map<AvailabilityZone, ZoneState> zones) {
        if (!takesNewWork(zones, announcement.zone())) {
            return new ServingLease.Refused(
                    NotServingReason.ZONE_OUT, Optional.of(announcement.vm().vm()));
        }
        if (!announcement.state().serves()) {
            final NotServingReason reason = announcement.state() == EndpointState.LEAVING
                    ? NotServingReason.MEMBER_LEAVING
                    : NotServingReason.MEMBER_NOT_SERVING;
            return new ServingLease.Refused(
                    reason, Optional.of(announcement.vm().vm()));
        }
        return new ServingLease.Serving(announcement.leaseDeadlineNanos(), announcement.state() == EndpointState.COLD);
    }

    private static boolean takesNewWork(Map<AvailabilityZone, ZoneState> zones, AvailabilityZone zone) {
        return zones.getOrDefault(zone, ZoneState.IN).takesNewWork();
    }

    private static Optional<NotServingReason> firstReason(
            FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
        for (final NotServingReason reason : NotServingReason.values()) {
            if (reason.applies(group, member, announcement)) {
                return Optional.of(reason);
            }
        }
        return Optional.empty();
    }
}
