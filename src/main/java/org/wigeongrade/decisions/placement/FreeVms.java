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
 * The VMs that one plan may still bind to groups, by fabric domain.
 *
 * <p>Invariant: a VM that was taken is not given again. Not thread safe.
 */
final class FreeVms {
    private final TreeMap<DomainKey, List<Announcement>> byDomain = new TreeMap<>();

    FreeVms(List<Announcement> free) {
        free.forEach(said -> byDomain.computeIfAbsent(DomainKey.of(said), key -> new ArrayList<>())
                .add(said));
    }

    Set<DomainKey> domains() {
        return byDomain.keySet();
    }

    int in(DomainKey domain) {
        return byDomain.getOrDefault(domain, List.of()).size();
    }

    int in(AvailabilityZone zone) {
        return byDomain.entrySet().stream()
                .filter(entry -> entry.getKey().zone().equals(zone))
                .mapToInt(entry -> entry.getValue().size())
                .sum();
    }

    /** Returns how many free VMs of the domain still announce the group. */
    int survivors(DomainKey domain, GroupName group) {
        return (int) byDomain.getOrDefault(domain, List.of()).stream()
                .filter(said -> announces(said, group))
                .count();
    }

    /** Returns how many free VMs of the domain hold the model version. */
    int holding(DomainKey domain, ModelVersionName version) {
        return (int) byDomain.getOrDefault(domain, List.of()).stream()
                .filter(said -> holds(said, version))
                .count();
    }

    /** Takes VMs of a domain: those that still announce the group first, then those that hold the model version. */
    List<Announcement> take(DomainKey domain, int count, GroupName group, ModelVersionName version) {
        final List<Announcement> free = byDomain.get(domain);
        final List<Announcement> taken = free.stream()
                .sorted(Comparator.comparing((Announcement said) -> !announces(said, group))
                        .thenComparing(said ->
                                !said.modelVersion().filter(version::equals).isPresent())
                        .thenComparing(said -> said.vm().vm()))
                .limit(count)
                .collect(ImmutableList.toImmutableList());
        free.removeAll(taken);
        return taken;
    }

    private static boolean holds(Announcement said, ModelVersionName version) {
        return said.modelVersion().filter(version::equals).isPresent();
    }

    private static boolean announces(Announcement said, GroupName group) {
        return said.group().filter(group::equals).isPresent();
    }
}
