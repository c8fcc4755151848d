package org.wigeongrade.fleet.control;

import com.google.common.collect.ImmutableSet;
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
    private record Names(long version, ImmutableSet<ServiceName> services) {}

    private final PublishedStateMachine stateMachine;
    private final ConfigurationCache configurations;
    private volatile Names latest = new Names(0, ImmutableSet.of());

    ConfiguredServices(PublishedStateMachine stateMachine, ConfigurationCache configurations) {
        this.stateMachine = stateMachine;
        this.configurations = configurations;
    }

    /** Returns whether the configuration that this node knows names the service, or no configuration is known yet. */
    boolean mayName(ServiceName service) {
        final PublishedState state = stateMachine.state();
        if (state.version() == 0) {
            return true;
        }
        Names names = latest;
        if (names.version() != state.version()) {
            names = read(state);
            latest = names;
        }
        return names.services().contains(service);
    }

    private Names read(PublishedState state) {
        return new Names(
                state.version(),
                configurations.get(state.version(), state.document().orElseThrow()).services().stream()
                        .map(PublishedService::name)
                        .collect(ImmutableSet.toImmutableSet()));
    }
}
