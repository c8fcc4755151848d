package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.wigeongrade.decisions.config.DeclaredGroups;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * The formed groups.
 *
 * <p>Invariant: each VM, in any incarnation, is a member of at most one group; the last fencing token never decreases,
 * and a group is formed only with a larger one. Not thread safe; guarded by {@link ControlState}.
 */
final class GroupTable {
    private final TreeMap<GroupName, FormedGroup> groups = new TreeMap<>();
    private final Map<VmName, GroupName> groupOfVm = new HashMap<>();
    private final TreeSet<GroupName> dissolved = new TreeSet<>();
    private FencingToken lastToken = FencingToken.NONE;

    /**
     * Forms a group, or returns why it is refused: it would violate the table's invariants, the declared set or a zone
     * state.
     */
    Optional<GroupRefusal> form(Command.FormGroup command, GroupRules rules) {
        final Optional<GroupRefusal> refusal = rules.check(command).or(() -> checkMembers(command));
        if (refusal.isPresent()) {
            return refusal;
        }
        lastToken = command.fencingToken();
        dissolved.remove(command.group());
        groups.put(command.group(), toFormedGroup(command));
        command.members().forEach(member -> groupOfVm.put(member.vm(), command.group()));
        return Optional.empty();
    }

    private Optional<GroupRefusal> checkMembers(Command.FormGroup command) {
        if (groups.containsKey(command.group())) {
            return Optional.of(GroupRefusal.GROUP_ALREADY_FORMED);
        }
        if (command.members().stream().map(VmIncarnation::vm).distinct().count()
                < command.members().size()) {
            return Optional.of(GroupRefusal.MEMBER_REPEATED);
        }
        if (command.members().stream().anyMatch(member -> groupOfVm.containsKey(member.vm()))) {
            return Optional.of(GroupRefusal.MEMBER_IN_ANOTHER_GROUP);
        }
        if (command.fencingToken().compareTo(lastToken) <= 0) {
            return Optional.of(GroupRefusal.STALE_FENCING_TOKEN);
        }
        return Optional.empty();
    }

    /**
     * Dissolves a group and frees its members, or returns why this is refused: the group is not formed, or the
     * command's fencing token is older than the group's. The token is either newly issued or the group's own.
     */
    Optional<GroupRefusal> dissolve(Command.DissolveGroup command) {
        final FormedGroup group = groups.get(command.group());
        if (group == null) {
            return Optional.of(GroupRefusal.NOT_FORMED);
        }
        if (command.fencingToken().compareTo(group.fencingToken()) < 0) {
            return Optional.of(GroupRefusal.STALE_FENCING_TOKEN);
        }
        groups.remove(command.group());
        dissolved.add(command.group());
        group.members().forEach(member -> groupOfVm.remove(member.vm()));
        if (command.fencingToken().compareTo(lastToken) > 0) {
            lastToken = command.fencingToken();
        }
        return Optional.empty();
    }

    Optional<FormedGroup> find(GroupName group) {
        return Optional.ofNullable(groups.get(group));
    }

    Optional<GroupName> groupOf(VmName vm) {
        return Optional.ofNullable(groupOfVm.get(vm));
    }

    FencingToken lastToken() {
        return lastToken;
    }

    /** Returns the groups that were dissolved, are still declared and have not been formed again, ordered by name. */
    Set<GroupName> dissolved() {
        return ImmutableSet.copyOf(dissolved);
    }

    /** Removes the dissolved groups that the set no longer declares. */
    void removeUndeclared(DeclaredSet set) {
        final Set<GroupName> declared = DeclaredGroups.names(set);
        dissolved.removeIf(group -> !declared.contains(group));
    }

    /** Returns the formed groups, ordered by name. */
    List<FormedGroup> all() {
        return ImmutableList.copyOf(groups.values());
    }

    void restore(List<FormedGroup> restored, List<GroupName> restoredDissolved, FencingToken token) {
        groups.clear();
        dissolved.clear();
        dissolved.addAll(restoredDissolved);
        groupOfVm.clear();
        lastToken = token;
        for (final FormedGroup group : restored) {
            groups.put(group.group(), group);
            group.members().forEach(member -> groupOfVm.put(member.vm(), group.group()));
        }
    }

    private static FormedGroup toFormedGroup(Command.FormGroup command) {
        return new FormedGroup(
                command.group(),
                command.pool(),
                command.modelVersion(),
                command.zone(),
                command.fabricDomain(),
                command.members(),
                command.fencingToken(),
                command.reason(),
                command.proposedAtEpochMs());
    }
}
