package org.wigeongrade.decisions.limits;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.ids.NodeName;

/**
 * Divides the slots of a limit among holders by max-min fairness: no holder gets more than it demands while another one
 * that demands more has less than an equal part. Slots that nobody demands are spread evenly, so that an idle holder
 * can start work at once. Stateless.
 */
final class FairDivision {
    /** The number of slots that one holder demands. */
    record Demand(NodeName holder, int wanted) {
        int wantedAtLeastOne() {
            return Math.max(1, wanted);
        }
    }

    private FairDivision() {}

    /**
     * Returns the slots of each holder; they sum to {@code slots}. If there are fewer slots than holders,
     * {@code rotation} decides who gets one, so that no holder goes without permanently.
     */
    static ImmutableMap<NodeName, Integer> divide(int slots, List<Demand> demands, long rotation) {
        if (demands.isEmpty()) {
            return ImmutableMap.of();
        }
        ImmutableList<Demand> rotated = rotated(demands, rotation);
        if (slots < demands.size()) {
            return oneEach(slots, rotated);
        }
        Map<NodeName, Integer> allotted = new HashMap<>();
        int remaining = allotDemands(slots, rotated, allotted);
        allotRemainder(remaining, rotated, allotted);
        return ImmutableMap.copyOf(allotted);
    }

    /** Allots one slot each, first to the holders that demand any and then to the others. */
    private static ImmutableMap<NodeName, Integer> oneEach(int slots, ImmutableList<Demand> rotated) {
        List<Demand> demandingFirst = new ArrayList<>(rotated);
        demandingFirst.sort(Comparator.comparing(demand -> demand.wanted() == 0));
        ImmutableMap.Builder<NodeName, Integer> allotted = ImmutableMap.builder();
        for (int i = 0; i < demandingFirst.size(); i++) {
            allotted.put(demandingFirst.get(i).holder(), i < slots ? 1 : 0);
        }
        return allotted.buildOrThrow();
    }

    /** Allots to each holder at most what it demands (but at least 1) and returns the remaining slots. */
    private static int allotDemands(int slots, ImmutableList<Demand> rotated, Map<NodeName, Integer> allotted) {
        List<Demand> ascending = new ArrayList<>(rotated);
        ascending.sort(Comparator.comparingInt(Demand::wantedAtLeastOne));
        int remaining = slots;
        for (int i = 0; i < ascending.size(); i++) {
            Demand demand = ascending.get(i);
            int part = Math.min(demand.wantedAtLeastOne(), remaining / (ascending.size() - i));
            allotted.put(demand.holder(), part);
            remaining -= part;
        }
        return remaining;
    }

    private static void allotRemainder(int remaining, ImmutableList<Demand> rotated, Map<NodeName, Integer> allotted) {
        int part = remaining / rotated.size();
        int remainder = remaining % rotated.size();
        for (int i = 0; i < rotated.size(); i++) {
            int extra = part + (i < remainder ? 1 : 0);
            allotted.merge(rotated.get(i).holder(), extra, Integer::sum);
        }
    }

    private static ImmutableList<Demand> rotated(List<Demand> demands, long rotation) {
        List<Demand> byName = new ArrayList<>(demands);
        byName.sort(Comparator.comparing(Demand::holder));
        int start = (int) Math.floorMod(rotation, (long) byName.size());
        ImmutableList.Builder<Demand> result = ImmutableList.builder();
        result.addAll(byName.subList(start, byName.size()));
        result.addAll(byName.subList(0, start));
        return result.build();
    }
}
