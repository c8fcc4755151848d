package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.outcomes.PartQuarantine;
import org.wigeongrade.decisions.outcomes.QuarantinedRequest;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.ids.VmName;

/**
 * The state of the fleet that an entry node last pulled from the leader. Immutable; safe for use from any thread.
 *
 * @param pullSent when the pull was sent; every change that was accepted before is in the view
 * @param pullSentNanos the same time on the wait clock
 * @param endpoints endpoints that may receive requests
 * @param quarantinedRequests requests that must not be sent, except as a trial
 * @param relayAddresses addresses of entry nodes that take requests which this node cannot send to an endpoint
 * @param partsInQuestion prompt parts for which the leader wants to know the complete responses
 */
record EntryView(
        Optional<PublishedConfiguration> configuration,
        Set<AvailabilityZone> zonesOut,
        Map<VmName, RoutableRecord> endpoints,
        Map<String, Integer> inFlightElsewhere,
        Map<String, Integer> unreadTokensElsewhere,
        List<QuarantinedRequest> quarantinedRequests,
        List<PartQuarantine> quarantinedParts,
        Set<PromptPartId> partsInQuestion,
        int entryNodes,
        List<String> relayAddresses,
        long term,
        long changeNumber,
        LeaseTime pullSent,
        long pullSentNanos) {
    EntryView {
        zonesOut = ImmutableSet.copyOf(zonesOut);
        endpoints = ImmutableMap.copyOf(endpoints);
        inFlightElsewhere = ImmutableMap.copyOf(inFlightElsewhere);
        unreadTokensElsewhere = ImmutableMap.copyOf(unreadTokensElsewhere);
        quarantinedRequests = ImmutableList.copyOf(quarantinedRequests);
        quarantinedParts = ImmutableList.copyOf(quarantinedParts);
        partsInQuestion = ImmutableSet.copyOf(partsInQuestion);
        relayAddresses = ImmutableList.copyOf(relayAddresses);
    }

    static EntryView empty(LeaseTime now, long nowNanos) {
        return new EntryView(
                Optional.empty(),
                Set.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                List.of(),
                List.of(),
                Set.of(),
                1,
                List.of(),
                0,
                0,
                now,
                nowNanos);
    }

    /** Returns whether the leader had heard of every endpoint, so that those that it does not list do not serve. */
    boolean isSettled() {
        return term != 0;
    }

    long version() {
        return configuration.map(PublishedConfiguration::version).orElse(0L);
    }

    /**
     * Returns the endpoints after a change. Unless {@code isComplete}, the known ones are kept: endpoints that are
     * missing from the reply of a leader that is not settled yet may still serve.
     */
    static ImmutableMap<VmName, RoutableRecord> merge(
            Map<VmName, RoutableRecord> known, List<RoutableRecord> changed, List<String> removed, boolean isComplete) {
        final ImmutableMap.Builder<VmName, RoutableRecord> merged = ImmutableMap.builder();
        if (!isComplete) {
            merged.putAll(known);
        }
        changed.forEach(record -> merged.put(VmName.of(record.getVm()), record));
        final ImmutableMap<VmName, RoutableRecord> all = merged.buildKeepingLast();
        final ImmutableSet<String> removedVms = ImmutableSet.copyOf(removed);
        return all.entrySet().stream()
                .filter(entry -> !removedVms.contains(entry.getKey().value()))
                .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
    }
}
