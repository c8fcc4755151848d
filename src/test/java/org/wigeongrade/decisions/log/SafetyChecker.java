package org.wigeongrade.decisions.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wigeongrade.ids.NodeName;

/** Collects every violation of the log's promises over one simulated run. Not thread safe. */
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

    /** Election safety, and leader completeness for the entries of earlier terms. */
    void leads(NodeName node, RaftCore core) {
        NodeName other = leaders.putIfAbsent(core.term(), node);
        if (other == null) {
            holdsCommitted(node, core);
        } else if (!other.equals(node)) {
            violations.add("term " + core.term() + " has two leaders, " + other + " and " + node);
        }
    }

    private void holdsCommitted(NodeName node, RaftCore core) {
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

    /** Log matching: an index and a term name one history. */
    void writes(NodeName node, LogEntry entry) {
        Digest other = written.putIfAbsent(new EntryKey(entry.index(), entry.term()), entry.digest());
        if (other != null && !other.equals(entry.digest())) {
            violations.add("entry " + entry.index() + " of term " + entry.term() + " differs on " + node);
        }
    }

    /** State machine safety: every replica applies the same entry at an index. */
    void applies(NodeName node, LogEntry entry) {
        Position other = committed.putIfAbsent(entry.index(), entry.position());
        if (other != null && !other.equals(entry.position())) {
            violations.add("node " + node + " applies another entry at index " + entry.index());
        }
        if (entry.kind() == EntryKind.MEMBERSHIP && entry.index() > committedMembershipIndex) {
            membershipChanges++;
            committedMembershipIndex = entry.index();
            committedMembership = Membership.decode(entry.payload());
        }
    }

    /** A snapshot stands for the committed entry at its position. */
    void installs(NodeName node, Position position) {
        installs++;
        Position other = committed.get(position.index());
        if (!position.equals(other)) {
            violations.add("node " + node + " installs a snapshot that was not committed, at " + position.index());
        }
    }

    void hasGap(NodeName node) {
        violations.add("disk of node " + node + " misses entries before the ones it stores");
    }

    void halts(NodeName node, HaltReason reason) {
        violations.add("node " + node + " halts: " + reason);
    }

    void holdLeases(List<NodeName> holders) {
        if (holders.size() > 1) {
            violations.add("leases overlap: " + holders);
        }
    }
}
