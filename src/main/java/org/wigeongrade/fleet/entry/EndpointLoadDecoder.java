package org.wigeongrade.fleet.entry;

import java.util.Optional;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.balancing.SendRestriction;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/** Creates an {@link EndpointLoad} from the leader's record of an endpoint. Stateless. */
final class EndpointLoadDecoder {
    private EndpointLoadDecoder() {}

    static EndpointLoad decode(RoutableRecord record, SendRestriction restriction, long coldUntilNanos, long nowNanos) {
        return new EndpointLoad(
                incarnation(record),
                ServiceName.of(record.getServiceName()),
                record.getAddress(),
                AvailabilityZone.of(record.getAvailabilityZone()),
                Optional.of(record.getModel()).filter(model -> !model.isEmpty()).map(ModelVersionName::of),
                record.getSlots(),
                Math.max(1, record.getPaceFactor()),
                restriction,
                coldUntilNanos,
                nowNanos);
    }

    static VmIncarnation incarnation(RoutableRecord record) {
        return new VmIncarnation(VmName.of(record.getVm()), record.getIncarnation());
    }
}
