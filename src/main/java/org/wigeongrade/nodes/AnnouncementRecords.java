package org.wigeongrade.nodes;

import com.google.common.base.Ascii;
import java.util.Optional;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.decisions.membership.EndpointKind;
import org.wigeongrade.decisions.membership.EndpointState;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.nodes.thrift.AnnouncementRecord;

/** Converts announcements from their Thrift form. Stateless; safe for use from any thread. */
public final class AnnouncementRecords {
    private AnnouncementRecords() {}

    /** Returns the announcement. {@code leaseDeadlineNanos} is on the monotonic clock of this VM. */
    public static Announcement fromThrift(AnnouncementRecord record, long leaseDeadlineNanos) {
        return new Announcement(
                new VmIncarnation(new VmName(record.getVm()), record.getIncarnation()),
                record.getAddress(),
                new AvailabilityZone(record.getAvailabilityZone()),
                new FabricDomain(record.getFabricDomain()),
                record.getAccelerators(),
                EndpointKind.valueOf(Ascii.toUpperCase(record.getKind())),
                Optional.ofNullable(record.getServiceName()).map(ServiceName::new),
                Optional.ofNullable(record.getGroupName()).map(GroupName::new),
                new FencingToken(record.getOrderTerm(), record.getOrderSequence()),
                Optional.ofNullable(record.getModelVersion()).map(ModelVersionName::new),
                EndpointState.valueOf(Ascii.toUpperCase(record.getState())),
                record.getRunning(),
                record.getWaiting(),
                record.getSequence(),
                leaseDeadlineNanos);
    }
}
