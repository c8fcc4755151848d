package org.wigeongrade.decisions.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wigeongrade.ids.NodeName;

/** Collects every violation of the log's invariants in one simulated run. Not thread safe. */
final class SafetyChecker {
    private record EntryKey(long index, long term) {}

    private final List<String> violations = new ArrayList<>();
    private final Map<Long, NodeName> leaders = new HashMap<>();
    private final Map<EntryKey, Digest> written = new HashMap<>();
    private final TreeMap<Long, Position> committed = new TreeMap<>();
    private Membership committedMembership = Membership.NONE;
    private long committedMembershipIndex;
    private int membershipChanges;
    private int installs;

    List<String> violations() {
        return violations;
    }

    int membershipChanges() {
        return membershipChanges;
    }

    int installs() {
        return installs;
    }

    long committedIndex() {
        return committed.isEmpty() ? 0 : committed.lastKey();
    }

    Membership committedMembership() {
        return committedMembership;
    }

    /** Checks election safety, and leader completeness for the entries of earlier terms. */
    void onLeader(NodeName node, RaftCore core) {
        NodeName other = leaders.putIfAbsent(core.term(), node);
        if (other == null) {
            checkHoldsCommitted(node, core);
        } else if (!other.equals(node)) {
            violations.add("term " + core.term() + " has two leaders, " + other + " and " + node);
        }
    }

    private void checkHoldsCommitted(NodeName node, RaftCore core) {
        committed.tailMap(core.base().index(), false).forEach((index, position) -> {
            boolean held = core.entry(index)
                    .map(LogEntry::position)
                    .filter(position::equals)
                    .isPresent();
            if (position.term() < core.term() && !held) {
                violations.add("leader " + node + " of term " + core.term() + " lacks committed entry " + index);
            }
        });
    }

    /** Checks log matching: entries with equal index and term have equal digests, so the logs are equal up to them. */
    void onAppend(NodeName node, LogEntry entry) {
        Digest other = written.putIfAbsent(new EntryKey(entry.index(), entry.term()), entry.digest());
        if (other != null && !other.equals(entry.digest())) {
            violations.add("entry " + entry.index() + " of term " + entry.term() + " differs on " + node);
        }
    }

    /** Checks state machine safety: all replicas apply the same entry at an index. */
    void onApply(NodeName node, LogEntry entry) {
        Position other = committed.putIfAbsent(entry.index(), entry.position());
        if (other != null && !other.equals(entry.position())) {
            violations.add("node " + node + " applies a different entry at index " + entry.index());
        }
        if (entry.kind() == EntryKind.MEMBERSHIP && entry.index() > committedMembershipIndex) {
            membershipChanges++;
            committedMembershipIndex = entry.index();
            committedMembership = Membership.decode(entry.payload());
        }
    }

    /** Checks that a snapshot is installed at the position of a committed entry. */
    void installs(NodeName node, Position position) {
        installs++;
        Position other = committed.get(position.index());
        if (!position.equals(other)) {
            violations.add("node " + node + " installs a snapshot that was not committed, at " + position.index());
        }
    }

    void onGap(NodeName node) {
        violations.add("disk of node " + node + " has a gap before the entries to store");
    }

    void onHalt(NodeName node, HaltReason reason) {
        violations.add("node " + node + " halts: " + reason);
    }

    void onLeaseHolders(List<NodeName> holders) {
        if (holders.size() > 1) {
            violations.add("leases overlap: " + holders);
        }
    }
}
