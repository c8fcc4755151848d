package org.wigeongrade.decisions.published;

import java.util.Optional;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.VmIncarnation;

/**
 * A member of a recorded group. Immutable; safe for use from any thread.
 *
 * @param address IP address and port at which the VM receives orders
 * @param fabricDomain name of the VM's fabric domain; empty if it has none
 */
public record RecordedMember(VmIncarnation vm, String address, String fabricDomain) {
    public static RecordedMember of(VmIncarnation vm, String address, Optional<FabricDomain> domain) {
        return new RecordedMember(vm, address, domain.map(FabricDomain::value).orElse(""));
    }

    public Optional<FabricDomain> domain() {
        return Optional.of(fabricDomain).filter(name -> !name.isEmpty()).map(FabricDomain::of);
    }
}
