package org.wigeongrade.proof;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Finds requests that a group started while one of its members had accepted an order to join another group, so that
 * this VM was in two groups at once. Stateless.
 */
final class MemberOfAnotherGroupChecker {
    private MemberOfAnotherGroupChecker() {}

    /** Returns the violations in {@code journal}, which is that of all VMs in any order. */
    static List<Violation> check(List<JournalEntry> journal) {
        List<JournalEntry> ordered = journal.stream()
                .sorted(Comparator.comparingLong(JournalEntry::atNanos))
                .toList();
        Map<String, String> groupOfVm = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (JournalEntry entry : ordered) {
            if (entry.event() == JournalEvent.ORDER) {
                applyOrder(groupOfVm, entry);
            } else if (entry.event() == JournalEvent.STARTED && !entry.members().isEmpty()) {
                addViolations(violations, groupOfVm, entry);
            }
        }
        return violations;
    }

    private static void applyOrder(Map<String, String> groupOfVm, JournalEntry order) {
        if (order.detail().startsWith("join ")) {
            groupOfVm.put(order.vm(), order.detail().substring("join ".length()));
        } else {
            groupOfVm.remove(order.vm());
        }
    }

    private static void addViolations(List<Violation> violations, Map<String, String> groupOfVm, JournalEntry start) {
        for (String member : start.members()) {
            String group = groupOfVm.get(member);
            if (group != null && !group.equals(start.group())) {
                violations.add(new Violation(
                        "member_of_another_group",
                        member,
                        "in " + group + " while " + start.group() + " started " + start.operation()));
            }
        }
    }
}
