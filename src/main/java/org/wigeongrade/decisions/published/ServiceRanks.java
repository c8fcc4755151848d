package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.ServiceName;

/**
 * The ranks of the requests for each service: first by the priority of their organisation, then by that of their route.
 * Immutable; safe for use from any thread.
 */
final class ServiceRanks {
    private final ImmutableMap<ServiceName, ImmutableList<Integer>> routePriorities;
    private final ImmutableMap<OrganisationName, Integer> priorityOfOrganisation;
    private final ImmutableList<Integer> organisationPriorities;

    ServiceRanks(List<Route> routes, List<PublishedOrganisation> organisations) {
        final Map<ServiceName, TreeSet<Integer>> byService = new HashMap<>();
        routes.forEach(route -> route.targets()
                .forEach(target -> byService
                        .computeIfAbsent(target.service(), service -> new TreeSet<>())
                        .add(route.priority())));
        routePriorities = byService.entrySet().stream()
                .collect(ImmutableMap.toImmutableMap(
                        Map.Entry::getKey, entry -> ImmutableList.copyOf(entry.getValue())));
        priorityOfOrganisation = organisations.stream()
                .collect(ImmutableMap.toImmutableMap(
                        PublishedOrganisation::name, PublishedOrganisation::priority, Math::min));
        organisationPriorities = sorted(priorityOfOrganisation.values());
    }

    private static ImmutableList<Integer> sorted(Collection<Integer> priorities) {
        return ImmutableSortedSet.copyOf(priorities).asList();
    }

    /** Returns the rank of a request; empty if all requests for the service have the same one. */
    Optional<RequestRank> rankOf(ServiceName service, Optional<OrganisationName> organisation, Route route) {
        final ImmutableList<Integer> ofRoutes = routePriorities.getOrDefault(service, ImmutableList.of());
        final int organisationRanks = Math.max(1, organisationPriorities.size());
        final int count = organisationRanks * Math.max(1, ofRoutes.size());
        if (count < 2) {
            return Optional.empty();
        }
        // Requests without an organisation come last.
        final int organisationPosition = organisation
                .map(priorityOfOrganisation::get)
                .map(organisationPriorities::indexOf)
                .orElse(organisationRanks - 1);
        return Optional.of(new RequestRank(
                organisationPosition * Math.max(1, ofRoutes.size()) + Math.max(0, ofRoutes.indexOf(route.priority())),
                count));
    }
}
