package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.config.ConfigurationChecker;
import org.wigeongrade.decisions.config.ConfigurationFault;
import org.wigeongrade.decisions.config.DeclaredObjects;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.ObjectId;
import org.wigeongrade.decisions.config.ObjectKind;
import org.wigeongrade.decisions.outcomes.Claim;
import org.wigeongrade.decisions.outcomes.ClaimTable;
import org.wigeongrade.decisions.outcomes.Quarantine;
import org.wigeongrade.decisions.outcomes.QuarantineTable;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.Revision;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * The deterministic state machine of the control VMs.
 *
 * <p>Invariants: the state and every result depend only on the commands applied so far; the revision and the state's
 * time never decrease; a VM belongs to at most one group; a change id takes effect at most once. Thread safe: each
 * method holds this object's monitor and calls nothing that takes another lock. Returned values are immutable.
 */
public final class ControlState {
    private static final String LEADER = "leader";
    private static final long MS_PER_MINUTE = 60_000;

    private final ZoneTable zones = new ZoneTable();
    private final GroupTable groups = new GroupTable();
    private final ChangeResults changeResults = new ChangeResults();
    private final ConfigurationChanges changes = new ConfigurationChanges();
    private final DecisionHistory history = new DecisionHistory();
    private final ClaimTable claims = new ClaimTable();
    private final QuarantineTable quarantines = new QuarantineTable();

    private DeclaredSet declaredSet = DeclaredSet.EMPTY;
    private Revision revision = Revision.NONE;
    private long appliedIndex;
    private long nowEpochMs;

    /** Returns a new state with the contents of the snapshot. */
    public static ControlState restore(ControlSnapshot snapshot) {
        final ControlState state = new ControlState();
        state.load(snapshot);
        return state;
    }

    /** Replaces the whole state by the contents of the snapshot. */
    public synchronized void load(ControlSnapshot snapshot) {
        appliedIndex = snapshot.appliedIndex();
        nowEpochMs = snapshot.nowEpochMs();
        revision = snapshot.revision();
        declaredSet = snapshot.declaredSet();
        zones.restore(snapshot.zones());
        groups.restore(snapshot.groups(), snapshot.dissolvedGroups(), snapshot.lastFencingToken());
        changeResults.restore(snapshot.changeAnswers());
        changes.restore(snapshot.changes());
        history.restore(snapshot.decisions());
        claims.restore(snapshot.claims());
        quarantines.restore(snapshot.quarantines());
    }

    /** Returns a snapshot of the whole state. */
    public synchronized ControlSnapshot snapshot() {
        return new ControlSnapshot(
                appliedIndex,
                nowEpochMs,
                revision,
                declaredSet,
                groups.lastToken(),
                zones.entries(),
                groups.all(),
                List.copyOf(groups.dissolved()),
                changeResults.all(),
                changes.all(),
                history.all(),
                claims.claims(),
                quarantines.entries());
    }

    /** Applies the command at a log position and returns its result. */
    public synchronized CommandResult apply(long index, Command command) {
        appliedIndex = index;
        if (command instanceof Command.ApplyConfiguration apply) {
            return applyConfiguration(apply);
        }
        if (command instanceof Command.SetZoneState set) {
            return setZoneState(set);
        }
        if (command instanceof Command.FormGroup form) {
            return formGroup(form);
        }
        if (command instanceof Command.DissolveGroup dissolve) {
            return dissolveGroup(dissolve);
        }
        if (command instanceof Command.ClaimRequest claim) {
            advanceTime(claim.proposedAtEpochMs());
            return claims.claim(claim, nowEpochMs, declaredSet.longestServiceRunMs(), revision);
        }
        if (command instanceof Command.FinishClaim finish) {
            advanceTime(finish.proposedAtEpochMs());
            return claims.finish(finish, nowEpochMs, revision);
        }
        if (command instanceof Command.QuarantineRequest quarantine) {
            return quarantineRequest(quarantine);
        }
        return expire((Command.ExpireRecords) command);
    }

    private CommandResult applyConfiguration(Command.ApplyConfiguration command) {
        advanceTime(command.proposedAtEpochMs());
        final String digest = ChangeDigest.of(command);
        return changeResults.find(command.changeId(), digest, revision).orElseGet(() -> {
            final CommandResult result = replaceDeclaredSet(command);
            changeResults.add(command.changeId(), digest, result);
            return result;
        });
    }

    private CommandResult replaceDeclaredSet(Command.ApplyConfiguration command) {
        if (!command.baseRevision().equals(revision)) {
            return refuse(
                    ObjectId.DECLARED_SET,
                    command.operator(),
                    ErrorKind.REVISION_CONFLICT,
                    changes.conflictMessage(command.baseRevision(), revision));
        }
        final List<ConfigurationFault> faults = ConfigurationChecker.check(command.declaredSet(), declaredSet);
        if (ConfigurationChecker.refusesSet(faults)) {
            return refuse(
                    ObjectId.DECLARED_SET,
                    command.operator(),
                    ErrorKind.INVALID_CONFIGURATION,
                    ConfigurationChecker.describe(faults));
        }
        final List<ObjectId> changed = DeclaredObjects.changed(declaredSet, command.declaredSet());
        declaredSet = command.declaredSet();
        groups.removeUndeclared(declaredSet);
        return acceptChange(command.operator(), changed, "declared", "change " + command.changeId());
    }

    private CommandResult setZoneState(Command.SetZoneState command) {
        advanceTime(command.proposedAtEpochMs());
        final String digest = ChangeDigest.of(command);
        return changeResults.find(command.changeId(), digest, revision).orElseGet(() -> {
            final CommandResult result = changeZone(command);
            changeResults.add(command.changeId(), digest, result);
            return result;
        });
    }

    private CommandResult changeZone(Command.SetZoneState command) {
        final ObjectId zone = ObjectId.of(ObjectKind.AVAILABILITY_ZONE, command.zone());
        if (declaredSet.zones().stream().noneMatch(declared -> declared.name().equals(command.zone()))) {
            return refuse(
                    zone,
                    command.operator(),
                    ErrorKind.NOT_FOUND,
                    zone + " is not declared; name one of "
                            + zones.all(declaredSet).keySet());
        }
        zones.set(command.zone(), command.zoneState());
        return acceptChange(
                command.operator(),
                List.of(zone),
                "taken " + command.zoneState().label(),
                "change " + command.changeId());
    }

    private CommandResult acceptChange(String operator, List<ObjectId> changed, String what, String why) {
        revision = revision.next();
        changes.add(new ConfigurationChange(revision, operator, changed, nowEpochMs));
        changed.forEach(object -> recordDecision(object, what, why, operator));
        recordDecision(ObjectId.DECLARED_SET, "revision " + revision + " accepted", why, operator);
        return new CommandResult.Accepted(revision);
    }

    private CommandResult formGroup(Command.FormGroup command) {
        advanceTime(command.proposedAtEpochMs());
        final ObjectId group = ObjectId.of(ObjectKind.GROUP, command.group());
        final Optional<GroupRefusal> refusal = groups.form(command, new GroupRules(declaredSet, zones));
        if (refusal.isPresent()) {
            return refuse(
                    group, LEADER, ErrorKind.REVISION_CONFLICT, refusal.get().message(group, "formed"));
        }
        recordDecision(group, "formed of " + command.members(), command.reason(), LEADER);
        command.members()
                .forEach(member -> recordDecision(vmObject(member), "joined " + group, command.reason(), LEADER));
        return new CommandResult.Accepted(revision);
    }

    private CommandResult dissolveGroup(Command.DissolveGroup command) {
        advanceTime(command.proposedAtEpochMs());
        final ObjectId group = ObjectId.of(ObjectKind.GROUP, command.group());
        final List<VmIncarnation> members =
                groups.find(command.group()).map(FormedGroup::members).orElse(List.of());
        final Optional<GroupRefusal> refusal = groups.dissolve(command);
        if (refusal.isPresent()) {
            return refuse(
                    group, LEADER, ErrorKind.REVISION_CONFLICT, refusal.get().message(group, "dissolved"));
        }
        recordDecision(group, "dissolved", command.reason(), LEADER);
        members.forEach(member -> recordDecision(vmObject(member), "freed from " + group, command.reason(), LEADER));
        return new CommandResult.Accepted(revision);
    }

    private CommandResult quarantineRequest(Command.QuarantineRequest command) {
        advanceTime(command.proposedAtEpochMs());
        quarantines.add(command.requestDigest(), command.reason(), nowEpochMs, command.untilEpochMs());
        recordDecision(
                ObjectId.of(ObjectKind.REQUEST, command.requestDigest()),
                "quarantined until epoch ms " + command.untilEpochMs(),
                command.reason(),
                LEADER);
        return new CommandResult.Accepted(revision);
    }

    private CommandResult expire(Command.ExpireRecords command) {
        advanceTime(command.proposedAtEpochMs());
        expireRecords();
        return new CommandResult.Accepted(revision);
    }

    /** Advances the state's time and, whenever a new minute begins, expires records. */
    private void advanceTime(long proposedAtEpochMs) {
        final long previousEpochMs = nowEpochMs;
        nowEpochMs = Math.max(nowEpochMs, proposedAtEpochMs);
        if (nowEpochMs / MS_PER_MINUTE != previousEpochMs / MS_PER_MINUTE) {
            expireRecords();
        }
    }

    private void expireRecords() {
        claims.expire(nowEpochMs);
        quarantines.expire(nowEpochMs);
    }

    private CommandResult refuse(ObjectId object, String by, ErrorKind kind, String message) {
        recordDecision(object, "refused: " + kind.code(), message, by);
        return new CommandResult.Refused(kind, message, revision);
    }

    private void recordDecision(ObjectId object, String what, String why, String by) {
        history.add(new Decision(object, what, why, by, nowEpochMs, revision, appliedIndex));
    }

    private static ObjectId vmObject(VmIncarnation member) {
        return ObjectId.of(ObjectKind.VM, member.vm());
    }

    /** Returns the current configuration revision. */
    public synchronized Revision revision() {
        return revision;
    }

    /** Returns the declared set in force. */
    public synchronized DeclaredSet declaredSet() {
        return declaredSet;
    }

    /** Returns the state of each availability zone, ordered by name. */
    public synchronized ImmutableMap<AvailabilityZone, ZoneState> zoneStates() {
        return zones.all(declaredSet);
    }

    /** Returns the formed groups, ordered by name. */
    public synchronized List<FormedGroup> groups() {
        return groups.all();
    }

    /** Returns the formed group with this name, if there is one. */
    public synchronized Optional<FormedGroup> group(GroupName name) {
        return groups.find(name);
    }

    /** Returns the group that the VM belongs to, in any incarnation, if there is one. */
    public synchronized Optional<GroupName> groupOf(VmName vm) {
        return groups.groupOf(vm);
    }

    /** Returns the largest fencing token in the log; a newly issued one must be larger. */
    public synchronized FencingToken lastFencingToken() {
        return groups.lastToken();
    }

    /** Returns the state that placement decisions are based on, all of it at one log position. */
    public synchronized PlacementState placementState() {
        return new PlacementState(
                revision, declaredSet, zones.all(declaredSet), groups.all(), groups.dissolved(), groups.lastToken());
    }

    /** Returns the stored decisions about an object, oldest first. */
    public synchronized List<Decision> decisions(ObjectId object) {
        return history.about(object);
    }

    /** Returns the claim of an idempotency key, if there is one. */
    public synchronized Optional<Claim> claim(OrganisationName organisation, String idempotencyKey) {
        return claims.find(organisation, idempotencyKey);
    }

    /** Returns the quarantined requests, ordered by digest; some may be past their deadline. */
    public synchronized List<Quarantine> quarantines() {
        return quarantines.entries();
    }

    /** Returns the log position of the last command applied. */
    public synchronized long appliedIndex() {
        return appliedIndex;
    }

    /** Returns the state's time: the latest proposal time of any applied command, in milliseconds since the epoch. */
    public synchronized long nowEpochMs() {
        return nowEpochMs;
    }
}
