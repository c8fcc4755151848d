package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.VmName;

/**
 * What an entry node last learned from the leader. Immutable; safe for use from any thread.
 *
 * @param sentNanos when the pull was sent; every change accepted before that is in the view
 * @param endpoints endpoints that requests may be sent to
 */
record EntryView(
        Optional<PublishedConfiguration> configuration,
        Set<AvailabilityZone> zonesOut,
        Map<VmName, RoutableRecord> endpoints,
        Map<String, Integer> inFlightElsewhere,
        Map<String, Integer> unreadTokensElsewhere,
        Set<String> quarantined,
        int entryNodes,
        long term,
        long changeNumber,
        long sentNanos) {
    EntryView {
        zonesOut = ImmutableSet.copyOf(zonesOut);
        endpoints = ImmutableMap.copyOf(endpoints);
        inFlightElsewhere = ImmutableMap.copyOf(inFlightElsewhere);
        unreadTokensElsewhere = ImmutableMap.copyOf(unreadTokensElsewhere);
        quarantined = ImmutableSet.copyOf(quarantined);
    }

    static EntryView nothing(long nowNanos) {
        return new EntryView(Optional.empty(), Set.of(), Map.of(), Map.of(), Map.of(), Set.of(), 1, 0, 0, nowNanos);
    }

    long version() {
        return configuration.map(PublishedConfiguration::version).orElse(0L);
    }

    /** Returns the endpoints after a change; what a leader that is not settled leaves out may still serve. */
    static ImmutableMap<VmName, RoutableRecord> merge(
            Map<VmName, RoutableRecord> known, List<RoutableRecord> changed, List<String> removed, boolean replaces) {
        final ImmutableMap.Builder<VmName, RoutableRecord> merged = ImmutableMap.builder();
        if (!replaces) {
            merged.putAll(known);
        }
        changed.forEach(record -> merged.put(VmName.of(record.getVm()), record));
        final ImmutableMap<VmName, RoutableRecord> all = merged.buildKeepingLast();
        final ImmutableSet<String> gone = ImmutableSet.copyOf(removed);
        return all.entrySet().stream()
                .filter(entry -> !gone.contains(entry.getKey().value()))
                .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
