package org.wigeongrade.nodes.control;

import java.util.Optional;
import java.util.function.Function;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.membership.AnnouncementTable;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.VmSighting;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.VmName;

/**
 * The latest announcement of the VM behind an endpoint: of the first member of a group, or of the VM of a plain service.
 * Thread safe: holds no state of its own.
 */
final class EndpointSightings implements Function<EndpointIncarnation, Optional<VmSighting>> {
    private final ControlState state;
    private final AnnouncementTable announcements;
    private final long announcementLeaseNanos;

    EndpointSightings(ControlState state, AnnouncementTable announcements, long announcementLeaseNanos) {
        this.state = state;
        this.announcements = announcements;
        this.announcementLeaseNanos = announcementLeaseNanos;
    }

    @Override
    public Optional<VmSighting> apply(EndpointIncarnation endpoint) {
        return announcements
                .latest(vmOf(endpoint.endpoint()))
                .map(latest -> new VmSighting(
                        latest.vm().incarnation(), latest.leaseDeadlineNanos() - announcementLeaseNanos, false));
    }

    private VmName vmOf(EndpointId endpoint) {
        return state.group(new GroupName(endpoint.value()))
                .map(group -> group.firstMember().vm())
                .orElseGet(() -> VmName.of(endpoint.value()));
    }
}
