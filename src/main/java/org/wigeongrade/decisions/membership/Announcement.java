package org.wigeongrade.decisions.membership;

import java.util.Optional;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * State that an endpoint VM announced. {@code address} is {@code ip:port}. {@code orderToken} is the fencing token of
 * the order that the VM follows, or {@link FencingToken#NONE}. {@code running} and {@code waiting} count requests.
 * {@code sequence} numbers the announcements of this incarnation. {@code leaseDeadlineNanos} is on the monotonic clock
 * of the VM that keeps the table. Immutable; safe for use from any thread.
 */
public record Announcement(
        VmIncarnation vm,
        String address,
        AvailabilityZone zone,
        FabricDomain fabricDomain,
        int accelerators,
        EndpointKind kind,
        Optional<ServiceName> service,
        Optional<GroupName> group,
        FencingToken orderToken,
        Optional<ModelVersionName> modelVersion,
        EndpointState state,
        int running,
        int waiting,
        long sequence,
        long leaseDeadlineNanos) {
    /** Returns whether the VM is in the group because of an order with this fencing token or a newer one. */
    public boolean follows(GroupName name, FencingToken token) {
        return group.filter(name::equals).isPresent() && orderToken.compareTo(token) >= 0;
    }

    /** Returns this announcement with another lease deadline. */
    public Announcement withLeaseDeadlineNanos(long deadlineNanos) {
        return new Announcement(
                vm,
                address,
                zone,
                fabricDomain,
                accelerators,
                kind,
                service,
                group,
                orderToken,
                modelVersion,
                state,
                running,
                waiting,
                sequence,
                deadlineNanos);
    }
}
