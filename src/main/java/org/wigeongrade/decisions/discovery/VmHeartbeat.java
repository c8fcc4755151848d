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
 * What an endpoint VM says of itself. Immutable; safe for use from any thread.
 *
 * @param sequence grows with each heartbeat of an incarnation, so that a late one shows
 * @param address IP number and port that take requests and orders
 * @param slots requests that the VM runs at once
 * @param draining whether the VM is about to leave
 * @param coldForMs remaining time of the cold start; 0 if warm
 * @param domain present where the VM runs an engine
 * @param stagedModels models whose weights lie on the VM's host
 * @param loadedModel the model of the VM's latest group
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
    }
}
