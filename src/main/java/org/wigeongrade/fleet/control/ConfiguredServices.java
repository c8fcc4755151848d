package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Optional;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.decisions.published.PublishedState;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.fleet.ConfigurationCache;
import org.wigeongrade.ids.ServiceName;

/**
 * Tells whether heartbeats for a service are evidence. Those for a service that no configuration names may come from
 * another writer; they say nothing about the VMs of the others, whatever address they state. Thread safe.
 */
final class ConfiguredServices {
    private record Services(long version, ImmutableMap<ServiceName, PublishedService> byName) {}

    private final PublishedStateMachine stateMachine;
    private final ConfigurationCache configurations;
    private volatile Services latest = new Services(0, ImmutableMap.of());

    ConfiguredServices(PublishedStateMachine stateMachine, ConfigurationCache configurations) {
        this.stateMachine = stateMachine;
        this.configurations = configurations;
    }

    /** Returns whether the configuration that this node knows names the service, or no configuration is known yet. */
    boolean mayName(ServiceName service) {
        return stateMachine.state().version() == 0 || find(service).isPresent();
    }

    /** Returns whether the endpoints of the service run engines, as far as the configuration that this node knows tells. */
    boolean runsEngine(ServiceName service) {
        return find(service).flatMap(PublishedService::engine).isPresent();
    }

    /** Returns the path of the health check of the service's endpoints; empty if none is known. */
    Optional<String> healthPath(ServiceName service) {
        return find(service).flatMap(PublishedService::healthPath);
    }

    private Optional<PublishedService> find(ServiceName service) {
        final PublishedState state = stateMachine.state();
        if (state.version() == 0) {
            return Optional.empty();
        }
        Services services = latest;
        if (services.version() != state.version()) {
            services = read(state);
            latest = services;
        }
        return Optional.ofNullable(services.byName().get(service));
    }

    private Services read(PublishedState state) {
        return new Services(
                state.version(),
                Maps.uniqueIndex(
                        configurations
                                .get(state.version(), state.document().orElseThrow())
                                .services(),
                        PublishedService::name));
    }
}
