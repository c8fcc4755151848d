package org.wigeongrade.bench;

import java.util.Optional;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.decisions.membership.EndpointKind;
import org.wigeongrade.decisions.membership.EndpointState;
import org.wigeongrade.decisions.placement.Order;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * An engine VM in virtual time: it executes orders, takes a fixed time to load a model and can be stopped and
 * restarted.
 *
 * <p>Invariant: it never executes an order whose fencing token is older than that of the last order it executed. Not
 * thread-safe.
 */
public final class VirtualVm {
    private final VmName name;
    private final AvailabilityZone zone;
    private final FabricDomain domain;
    private final int accelerators;
    private final long loadNanos;

    private long incarnation = 1;
    private long announcementSequence;
    private boolean running = true;
    private FencingToken lastFencingToken = FencingToken.NONE;
    private Optional<GroupName> group = Optional.empty();
    private Optional<ModelVersionName> loadedVersion = Optional.empty();
    private long loadedAtNanos;
    private long lastAnnouncedAtNanos = Long.MIN_VALUE;

    public VirtualVm(VmName name, AvailabilityZone zone, FabricDomain domain, int accelerators, long loadNanos) {
        this.name = name;
        this.zone = zone;
        this.domain = domain;
        this.accelerators = accelerators;
        this.loadNanos = loadNanos;
    }

    public VmName name() {
        return name;
    }

    /** Returns the name of the VM with the incarnation of its process. */
    public VmIncarnation identity() {
        return new VmIncarnation(name, incarnation);
    }

    /** Returns the time of the last announcement of the VM, in nanoseconds of virtual time. */
    public long lastAnnouncedAtNanos() {
        return lastAnnouncedAtNanos;
    }

    public FabricDomain domain() {
        return domain;
    }

    public boolean isRunning() {
        return running;
    }

    /** Stops the VM; it sends no announcements until it is resumed or restarted. */
    public void stop() {
        running = false;
    }

    /** Resumes the VM after {@link #stop} as the same process. */
    public void resume() {
        running = true;
    }

    /** Starts a new process, with a new incarnation and in no group. */
    public void restart() {
        running = true;
        incarnation++;
        announcementSequence = 0;
        lastFencingToken = FencingToken.NONE;
        group = Optional.empty();
        loadedVersion = Optional.empty();
    }

    /**
     * Executes an order unless the VM is stopped, the order is meant for another incarnation or its fencing token is
     * old.
     */
    public void handleOrder(Order order, long nowNanos) {
        if (!running
                || order.vm().incarnation() != incarnation
                || order.fencingToken().compareTo(lastFencingToken) < 0) {
            return;
        }
        lastFencingToken = order.fencingToken();
        switch (order.kind()) {
            case JOIN -> join(order, nowNanos);
            case LEAVE -> group = Optional.empty();
        }
    }

    private void join(Order order, long nowNanos) {
        final boolean alreadyLoaded = loadedVersion.equals(order.modelVersion()) && loadedAtNanos - nowNanos <= 0;
        group = Optional.of(order.group());
        loadedVersion = order.modelVersion();
        loadedAtNanos = alreadyLoaded ? nowNanos : nowNanos + loadNanos;
    }

    /** Returns the current announcement of the VM, or empty while it is stopped. */
    public Optional<Announcement> announce(long nowNanos, long leaseNanos) {
        if (!running) {
            return Optional.empty();
        }
        lastAnnouncedAtNanos = nowNanos;
        return Optional.of(new Announcement(
                identity(),
                "127.0.0.1:1",
                zone,
                domain,
                accelerators,
                EndpointKind.ENGINE,
                Optional.empty(),
                group,
                lastFencingToken,
                loadedVersion,
                endpointState(nowNanos),
                0,
                0,
                ++announcementSequence,
                nowNanos + leaseNanos));
    }

    private EndpointState endpointState(long nowNanos) {
        if (group.isEmpty()) {
            return EndpointState.IDLE;
        }
        return loadedAtNanos - nowNanos > 0 ? EndpointState.LOADING : EndpointState.WARM;
    }
}
