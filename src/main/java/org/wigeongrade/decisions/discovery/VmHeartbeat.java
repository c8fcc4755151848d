package org.wigeongrade.decisions.discovery;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * The state that an endpoint VM reports of itself. Immutable; safe for use from any thread.
 *
 * <p>Invariant: all values are within {@link HeartbeatBounds}; otherwise, the constructor throws {@link
 * IllegalArgumentException}.
 *
 * @param sequence increases with each heartbeat of an incarnation, so that late heartbeats can be detected
 * @param address IP address and port at which the VM receives requests and orders
 * @param slots number of requests that the VM runs at once
 * @param draining whether the VM is about to leave
 * @param coldForMs remaining time of the cold start; 0 if warm
 * @param domain fabric domain of the VM; present only if the VM runs an engine
 * @param stagedModels models whose weights are on the VM's host
 * @param loadedModel model of the VM's latest group; its weights stay loaded
 */
public record VmHeartbeat(
        VmIncarnation vm,
        long sequence,
        ServiceName service,
        String address,
        AvailabilityZone zone,
        String softwareVersion,
        int slots,
        boolean draining,
        long coldForMs,
        Optional<FabricDomain> domain,
        Set<ModelVersionName> stagedModels,
        Optional<ModelVersionName> loadedModel,
        Optional<GroupReport> group) {
    public VmHeartbeat {
        stagedModels = ImmutableSet.copyOf(stagedModels);
        HeartbeatBounds.INCARNATION.check(vm.incarnation());
        HeartbeatBounds.SEQUENCE.check(sequence);
        HeartbeatBounds.SOFTWARE_VERSION_CHARS.check(softwareVersion.length());
        HeartbeatBounds.SLOTS.check(slots);
        HeartbeatBounds.COLD_MS.check(coldForMs);
        HeartbeatBounds.STAGED_MODELS.check(stagedModels.size());
    }
}
