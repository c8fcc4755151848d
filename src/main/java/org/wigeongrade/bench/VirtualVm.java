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
 * An engine VM in virtual time: it follows orders, loads for a fixed time and can be stopped and started.
 *
 * <p>Invariant: follows no order with a token older than the last one it followed. Not thread safe.
 */
public final class VirtualVm {
    private final VmName name;
    private final AvailabilityZone zone;
    private final FabricDomain domain;
    private final int accelerators;
    private final long loadNanos;

    private long incarnation = 1;
    private long sequence;
    private boolean running = true;
    private FencingToken followed = FencingToken.NONE;
    private Optional<GroupName> group = Optional.empty();
    private Optional<ModelVersionName> loaded = Optional.empty();
    private long loadedAtNanos;
    private long announcedAtNanos = Long.MIN_VALUE;

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

    /** Returns the VM with the incarnation of its process. */
    public VmIncarnation identity() {
        return new VmIncarnation(name, incarnation);
    }

    /** Returns when the VM announced itself last, in nanoseconds of virtual time. */
    public long announcedAtNanos() {
        return announcedAtNanos;
    }

    public FabricDomain domain() {
        return domain;
    }

    public boolean isRunning() {
        return running;
    }

    /** Stops the VM; it announces nothing until it is started or resumed. */
    public void stop() {
        running = false;
    }

    /** Goes on after {@link #stop} as the same process. */
    public void resume() {
        running = true;
    }

    /** Starts a new process: a new incarnation in no group. */
    public void restart() {
        running = true;
        incarnation++;
        sequence = 0;
        followed = FencingToken.NONE;
        group = Optional.empty();
        loaded = Optional.empty();
    }

    /** Follows an order unless it is meant for another incarnation or carries an old token. */
    public void order(Order order, long nowNanos) {
        if (!running
                || order.vm().incarnation() != incarnation
                || order.fencingToken().compareTo(followed) < 0) {
            return;
        }
        followed = order.fencingToken();
        switch (order.kind()) {
            case JOIN -> join(order, nowNanos);
            case LEAVE -> group = Optional.empty();
        }
    }

    private void join(Order order, long nowNanos) {
        final boolean holdsVersion = loaded.equals(order.modelVersion()) && loadedAtNanos - nowNanos <= 0;
        group = Optional.of(order.group());
        loaded = order.modelVersion();
        loadedAtNanos = holdsVersion ? nowNanos : nowNanos + loadNanos;
    }

    /** Returns what the VM announces now, or empty while it is stopped. */
    public Optional<Announcement> announce(long nowNanos, long leaseNanos) {
        if (!running) {
            return Optional.empty();
        }
        announcedAtNanos = nowNanos;
        return Optional.of(new Announcement(
                identity(),
                "127.0.0.1:1",
                zone,
                domain,
                accelerators,
                EndpointKind.ENGINE,
                Optional.empty(),
                group,
                followed,
                loaded,
                state(nowNanos),
                0,
                0,
                ++sequence,
                nowNanos + leaseNanos));
    }

    private EndpointState state(long nowNanos) {
        if (group.isEmpty()) {
            return EndpointState.IDLE;
        }
        return loadedAtNanos - nowNanos > 0 ? EndpointState.LOADING : EndpointState.WARM;
    }
}
