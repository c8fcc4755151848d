package org.wigeongrade.decisions.placement;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;

/**
 * Free VMs that one plan may still assign to groups, by fabric domain.
 *
 * <p>Invariant: a VM is taken at most once. Not thread safe.
 */
final class FreeVms {
    private final TreeMap<DomainKey, List<Announcement>> byDomain = new TreeMap<>();

    FreeVms(List<Announcement> freeAnnouncements) {
        freeAnnouncements.forEach(
                announcement -> byDomain.computeIfAbsent(DomainKey.of(announcement), key -> new ArrayList<>())
                        .add(announcement));
    }

    Set<DomainKey> domains() {
        return byDomain.keySet();
    }

    int count(DomainKey domain) {
        return byDomain.getOrDefault(domain, List.of()).size();
    }

    int count(AvailabilityZone zone) {
        return byDomain.entrySet().stream()
                .filter(entry -> entry.getKey().zone().equals(zone))
                .mapToInt(entry -> entry.getValue().size())
                .sum();
    }

    /** Returns how many free VMs of the domain still announce the group. */
    int countAnnouncing(DomainKey domain, GroupName group) {
        return (int) byDomain.getOrDefault(domain, List.of()).stream()
                .filter(announcement -> announces(announcement, group))
                .count();
    }

    /** Returns how many free VMs of the domain hold the model version. */
    int countHolding(DomainKey domain, ModelVersionName version) {
        return (int) byDomain.getOrDefault(domain, List.of()).stream()
                .filter(announcement -> holds(announcement, version))
                .count();
    }

    /**
     * Removes and returns {@code count} VMs of a domain. VMs that still announce the group are taken first, then those
     * that hold the model version, and last by VM name.
     */
    List<Announcement> take(DomainKey domain, int count, GroupName group, ModelVersionName version) {
        final List<Announcement> freeInDomain = byDomain.get(domain);
        final List<Announcement> taken = freeInDomain.stream()
                .sorted(Comparator.comparing((Announcement announcement) -> !announces(announcement, group))
                        .thenComparing(announcement -> !announcement
                                .modelVersion()
                                .filter(version::equals)
                                .isPresent())
                        .thenComparing(announcement -> announcement.vm().vm()))
                .limit(count)
                .collect(ImmutableList.toImmutableList());
        freeInDomain.removeAll(taken);
        return taken;
    }

    private static boolean holds(Announcement announcement, ModelVersionName version) {
        return announcement.modelVersion().filter(version::equals).isPresent();
    }

    private static boolean announces(Announcement announcement, GroupName group) {
        return announcement.group().filter(group::equals).isPresent();
    }
}
