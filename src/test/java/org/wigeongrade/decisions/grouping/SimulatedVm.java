package org.wigeongrade.decisions.grouping;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.decisions.discovery.GroupReport;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/** An engine VM in virtual time that keeps the engines' contract for groups. Not thread safe. */
final class SimulatedVm {
    static final long STALL_MS = 4_000;
    static final long FORMATION_MS = 300;
    static final long REJOIN_MS = 200;

    final VmIncarnation life;
    final FabricDomain domain;
    /** Cut off from the leader; the process goes on. */
    boolean dark;
    /** The process has ended. */
    boolean ended;

    /** Heartbeats get lost on their way; orders arrive. */
    boolean mute;

    boolean draining;
    GroupName group;
    long epoch;
    List<VmName> members = List.of();
    GroupState state;
    ModelVersionName lastModel;
    private ModelVersionName joining;
    final Set<ModelVersionName> staged = new HashSet<>();
    private final SimulatedFleet fleet;
    private long fencing;
    private long highestEpoch;
    private long changesAtMs = Long.MAX_VALUE;
    private long standsStillSinceMs = Long.MAX_VALUE;
    private long nextHeartbeatMs;
    private long sequence;

    SimulatedVm(SimulatedFleet fleet, String name, String domain, long bornMs) {
        this.fleet = fleet;
        this.life = new VmIncarnation(VmName.of(name), bornMs);
        this.domain = FabricDomain.of(domain);
        this.nextHeartbeatMs = bornMs;
    }

    boolean isHead() {
        return group != null && members.get(0).equals(life.vm());
    }

    /** Returns whether requests run here or may stand still here. */
    boolean mayServe() {
        return !ended && isHead() && (state == GroupState.OPEN || state == GroupState.CLOSING);
    }

    /** Returns for how long nothing has moved in the group that this VM heads. */
    long stalledMs() {
        return Math.max(0, fleet.nowMs() - standsStillSinceMs);
    }

    OrderAnswer take(GroupOrder order) {
        if (order.kind() == GroupOrderKind.PROBE) {
            return OrderAnswer.DONE;
        }
        if (order.fencingTerm() < fencing) {
            return OrderAnswer.REFUSED;
        }
        fencing = order.fencingTerm();
        if (order.kind() == GroupOrderKind.JOIN) {
            return join(order);
        }
        if (order.kind() == GroupOrderKind.STAGE) {
            return stage(order.model());
        }
        final boolean here = order.group().equals(group) && order.epoch() == epoch;
        if (!here) {
            return OrderAnswer.REFUSED;
        }
        return switch (order.kind()) {
            case OPEN -> open();
            case CLOSE_NOW, CLOSE_WHEN_DONE -> close();
            case LEAVE -> leave();
            case JOIN, STAGE, PROBE -> throw new IllegalStateException();
        };
    }

    private OrderAnswer join(GroupOrder order) {
        if (order.group().equals(group) && order.epoch() == epoch) {
            return OrderAnswer.DONE;
        }
        if (order.epoch() < highestEpoch) {
            return OrderAnswer.REFUSED;
        }
        fleet.checkJoin(this, order);
        highestEpoch = order.epoch();
        group = order.group();
        epoch = order.epoch();
        members = order.members();
        state = GroupState.JOINING;
        changesAtMs = fleet.nowMs() + joinMs(order.model());
        joining = order.model();
        beatSoon();
        return OrderAnswer.BEGUN;
    }

    /** Loads a model onto the host, which keeps one; the weights in memory stay. */
    private OrderAnswer stage(ModelVersionName model) {
        if (staged.contains(model)) {
            return OrderAnswer.DONE;
        }
        fleet.secondLoads++;
        fleet.at(fleet.loadMs(model), () -> {
            staged.clear();
            staged.add(model);
            beatSoon();
        });
        return OrderAnswer.BEGUN;
    }

    /** A join needs no load if the weights are in memory or on the host; a load replaces what the host keeps. */
    private void finishJoin() {
        if (!joining.equals(lastModel) && !staged.contains(joining)) {
            fleet.loads++;
            staged.clear();
            staged.add(joining);
        }
        lastModel = joining;
    }

    private long joinMs(ModelVersionName model) {
        if (model.equals(lastModel)) {
            return REJOIN_MS;
        }
        return staged.contains(model) ? fleet.model(model).warmupMs() : fleet.loadMs(model);
    }

    private OrderAnswer open() {
        if (state == GroupState.OPEN) {
            return OrderAnswer.DONE;
        }
        if (state != GroupState.READY) {
            return OrderAnswer.REFUSED;
        }
        changesAtMs = fleet.nowMs() + FORMATION_MS;
        return OrderAnswer.BEGUN;
    }

    private OrderAnswer close() {
        if (state == GroupState.OPEN) {
            state = GroupState.CLOSING;
            changesAtMs = fleet.nowMs() + 60;
            return OrderAnswer.BEGUN;
        }
        return state == GroupState.READY ? OrderAnswer.DONE : OrderAnswer.REFUSED;
    }

    private OrderAnswer leave() {
        group = null;
        state = null;
        changesAtMs = Long.MAX_VALUE;
        beatSoon();
        return OrderAnswer.DONE;
    }

    /** Lets time pass; returns a heartbeat if one is due and can be sent. */
    Optional<VmHeartbeat> tick() {
        if (ended) {
            return Optional.empty();
        }
        changeState();
        standStill();
        if (fleet.nowMs() < nextHeartbeatMs) {
            return Optional.empty();
        }
        nextHeartbeatMs = fleet.nowMs() + SimulatedFleet.HEARTBEAT_MS;
        sequence++;
        return dark || mute ? Optional.empty() : Optional.of(heartbeat());
    }

    private void changeState() {
        if (fleet.nowMs() < changesAtMs) {
            return;
        }
        changesAtMs = Long.MAX_VALUE;
        if (state == GroupState.READY) {
            fleet.checkOpens(this);
            state = GroupState.OPEN;
        } else {
            if (state == GroupState.JOINING) {
                finishJoin();
            }
            state = GroupState.READY;
            fleet.readyOnce(group, life.vm());
        }
        beatSoon();
    }

    private void standStill() {
        if (!isHead() || state != GroupState.OPEN) {
            standsStillSinceMs = Long.MAX_VALUE;
            return;
        }
        final boolean whole = members.stream().allMatch(member -> fleet.isIn(member, group, epoch));
        standsStillSinceMs = whole ? Long.MAX_VALUE : Math.min(standsStillSinceMs, fleet.nowMs());
        if (!whole && fleet.nowMs() - standsStillSinceMs >= STALL_MS) {
            state = GroupState.BROKEN;
            beatSoon();
        }
    }

    private void beatSoon() {
        nextHeartbeatMs = fleet.nowMs();
    }

    private VmHeartbeat heartbeat() {
        return new VmHeartbeat(
                life,
                sequence,
                ServiceName.of("pool"),
                "10.0.0.1:" + (1_000 + fleet.indexOf(this)),
                AvailabilityZone.of("zone-a"),
                "v1",
                18,
                draining,
                0,
                Optional.of(domain),
                staged,
                Optional.ofNullable(lastModel),
                Optional.ofNullable(group)
                        .map(name -> new GroupReport(
                                name,
                                epoch,
                                members.indexOf(life.vm()),
                                Optional.ofNullable(state).orElseThrow())));
    }
}
