package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.decisions.membership.AnnouncementTable;
import org.wigeongrade.decisions.membership.ServingLeases;
import org.wigeongrade.decisions.placement.PlacementAction;
import org.wigeongrade.decisions.placement.PlacementInput;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ChangeId;

/**
 * The control state and the planner of one leader, together with virtual engine VMs, in virtual time.
 *
 * <p>Invariant: the sequence of events depends only on the method calls. Not thread-safe.
 */
public final class VirtualFleet {
    /** How long an announcement is valid, in nanoseconds. */
    public static final long LEASE_NANOS = 3_000_000_000L;

    private final List<VirtualVm> vms;
    private final Function<PlacementInput, List<PlacementAction>> planner;
    private final List<Command> log = new ArrayList<>();
    private final List<PlacementAction> lastPlan = new ArrayList<>();

    private ControlState state = new ControlState();
    private AnnouncementTable announcements = new AnnouncementTable();
    private long nowNanos;
    private long term = 1;
    private long membersKnownAtNanos;
    private long changeCount;

    public VirtualFleet(List<VirtualVm> vms, Function<PlacementInput, List<PlacementAction>> planner) {
        this.vms = List.copyOf(vms);
        this.planner = planner;
    }

    /** Applies a declared set on top of the current revision. */
    public CommandResult declare(DeclaredSet declaredSet) {
        return apply(new Command.ApplyConfiguration(
                nextChangeId(), "operator", state.revision(), declaredSet, nowEpochMs()));
    }

    /** Takes an availability zone out of service or back into service. */
    public CommandResult setZone(AvailabilityZone zone, ZoneState zoneState) {
        return apply(new Command.SetZoneState(nextChangeId(), "operator", zone, zoneState, nowEpochMs()));
    }

    private ChangeId nextChangeId() {
        changeCount++;
        return ChangeId.of("change-" + changeCount);
    }

    /** Commits a command, which may be one that was already committed, as when a sender retries. */
    public CommandResult propose(Command command) {
        return apply(command);
    }

    /** Commits a plan that was made from another control state, as a leader that lags behind would. */
    public void commitPlanFrom(ControlState other) {
        term++;
        final PlacementInput input = PlacementInput.of(
                other, announcements, term, nowNanos, nowEpochMs(), membersKnownAtNanos, membersKnownAtNanos);
        planner.apply(input).forEach(this::commit);
    }

    /** Replaces the leader: starts a new term with the state restored from a snapshot and without announcements. */
    public void changeLeader() {
        term++;
        state = ControlState.restore(state.snapshot());
        announcements = new AnnouncementTable();
        membersKnownAtNanos = nowNanos + LEASE_NANOS;
    }

    /** Advances the time, records announcements, makes one plan and executes it. */
    public void step(long stepNanos) {
        nowNanos += stepNanos;
        vms.forEach(vm -> vm.announce(nowNanos, LEASE_NANOS).ifPresent(announcements::record));
        lastPlan.clear();
        lastPlan.addAll(planner.apply(PlacementInput.of(
                state, announcements, term, nowNanos, nowEpochMs(), membersKnownAtNanos, membersKnownAtNanos)));
        lastPlan.forEach(this::execute);
    }

    private void commit(PlacementAction action) {
        if (action instanceof PlacementAction.FormGroup form) {
            apply(form.command());
        }
        if (action instanceof PlacementAction.DissolveGroup dissolve) {
            apply(dissolve.command());
        }
    }

    private void execute(PlacementAction action) {
        commit(action);
        if (action instanceof PlacementAction.SendOrder send) {
            vms.stream()
                    .filter(vm -> vm.name().equals(send.order().vm().vm()))
                    .forEach(vm -> vm.handleOrder(send.order(), nowNanos));
        }
    }

    private CommandResult apply(Command command) {
        log.add(command);
        return state.apply(log.size(), command);
    }

    /** Returns whether the group may serve now. */
    public boolean serves(FormedGroup group) {
        final Optional<Long> deadlineNanos =
                ServingLeases.servingDeadlineNanos(group, state.zoneStates(), announcements, nowNanos);
        return deadlineNanos.isPresent();
    }

    /** Returns the formed groups that may serve now. */
    public List<FormedGroup> servingGroups() {
        return state.groups().stream().filter(this::serves).toList();
    }

    public ControlState state() {
        return state;
    }

    public AnnouncementTable announcements() {
        return announcements;
    }

    /** Returns all commands committed so far, in log order. */
    public List<Command> log() {
        return List.copyOf(log);
    }

    /** Returns the actions of the last step. */
    public List<PlacementAction> lastPlan() {
        return List.copyOf(lastPlan);
    }

    public List<VirtualVm> vms() {
        return vms;
    }

    public long nowNanos() {
        return nowNanos;
    }

    private long nowEpochMs() {
        return nowNanos / 1_000_000;
    }
}
