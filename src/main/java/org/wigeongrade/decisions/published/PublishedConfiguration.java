package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.ServiceName;

/**
 * A configuration that operators publish under one version, indexed for lookup.
 *
 * <p>Invariant: checked by {@link PublishedChecker} before it is published. Immutable; safe for use from any thread.
 */
public final class PublishedConfiguration {
    private final long version;
    private final ImmutableList<Route> routes;
    private final ImmutableMap<ServiceName, PublishedService> services;
    private final CallerLimits limits;
    private final ImmutableList<PublishedOrganisation> organisations;
    private final ImmutableMap<String, ImmutableList<Route>> longestPrefixFirst;
    private final ImmutableMap<String, OrganisationName> organisationOfKey;
    private final ServiceRanks ranks;

    public PublishedConfiguration(
            long version,
            List<Route> routes,
            List<PublishedService> services,
            CallerLimits limits,
            List<PublishedOrganisation> organisations) {
        this.version = version;
        this.routes = ImmutableList.copyOf(routes);
        this.services = services.stream()
                .collect(ImmutableMap.toImmutableMap(
                        PublishedService::name, service -> service, (first, second) -> second));
        this.limits = limits;
        this.organisations = ImmutableList.copyOf(organisations);
        this.longestPrefixFirst = indexRoutes(this.routes);
        this.organisationOfKey = indexKeys(this.organisations);
        this.ranks = new ServiceRanks(this.routes, this.organisations);
    }

    public long version() {
        return version;
    }

    public ImmutableList<Route> routes() {
        return routes;
    }

    public ImmutableList<PublishedService> services() {
        return services.values().asList();
    }

    public CallerLimits limits() {
        return limits;
    }

    public ImmutableList<PublishedOrganisation> organisations() {
        return organisations;
    }

    /** Returns the service with this name. */
    public Optional<PublishedService> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the host's route with the longest prefix of the path. */
    public Optional<Route> route(String hostname, String path) {
        return longestPrefixFirst.getOrDefault(hostname, ImmutableList.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns whether requests must carry a key, except on anonymous routes. */
    public boolean requiresKeys() {
        return !organisations.isEmpty();
    }

    /** Returns the organisation that holds the key. */
    public Optional<OrganisationName> organisationOf(String key) {
        return Optional.ofNullable(organisationOfKey.get(key));
    }

    /** Returns the rank of a request; empty if all requests for the service have the same one. */
    public Optional<RequestRank> rankOf(ServiceName service, Optional<OrganisationName> organisation, Route route) {
        return ranks.rankOf(service, organisation, route);
    }

    private static ImmutableMap<String, ImmutableList<Route>> indexRoutes(List<Route> routes) {
        final Map<String, ImmutableList.Builder<Route>> byHost = new HashMap<>();
        routes.stream()
                .sorted(Comparator.comparingInt(
                        (Route route) -> -route.pathPrefix().length()))
                .forEach(route -> byHost.computeIfAbsent(route.hostname(), host -> ImmutableList.builder())
                        .add(route));
        return byHost.entrySet().stream()
                .collect(ImmutableMap.toImmutableMap(
                        Map.Entry::getKey, entry -> entry.getValue().build()));
    }

    private static ImmutableMap<String, OrganisationName> indexKeys(List<PublishedOrganisation> organisations) {
        final ImmutableMap.Builder<String, OrganisationName> keys = ImmutableMap.builder();
        organisations.forEach(organisation -> organisation.keys().forEach(key -> keys.put(key, organisation.name())));
        return keys.buildKeepingLast();
    }
}
