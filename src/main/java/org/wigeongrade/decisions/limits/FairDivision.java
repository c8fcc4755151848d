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
 * Divides a bound among holders by max-min fairness: no holder gets more than it wants while another gets less than an
 * equal part, and what nobody wants is spread evenly so that an idle holder can begin at once. Stateless.
 */
final class FairDivision {
    /** One holder and the slots that it wants. */
    record Want(NodeName holder, int wanted) {
        int atLeastOne() {
            return Math.max(1, wanted);
        }
    }

    private FairDivision() {}

    /**
     * Returns the slots of each holder; they sum to {@code slots}. Where there are too few for all, {@code rotation}
     * picks who gets one, so that nobody goes without for good.
     */
    static ImmutableMap<NodeName, Integer> divide(int slots, List<Want> wants, long rotation) {
        if (wants.isEmpty()) {
            return ImmutableMap.of();
        }
        ImmutableList<Want> rotated = rotated(wants, rotation);
        if (slots < wants.size()) {
            return oneEach(slots, rotated);
        }
        Map<NodeName, Integer> given = new HashMap<>();
        int left = fill(slots, rotated, given);
        spread(left, rotated, given);
        return ImmutableMap.copyOf(given);
    }

    /** Gives one slot each to holders that want any, then to the others. */
    private static ImmutableMap<NodeName, Integer> oneEach(int slots, ImmutableList<Want> rotated) {
        List<Want> wantingFirst = new ArrayList<>(rotated);
        wantingFirst.sort(Comparator.comparing(want -> want.wanted() == 0));
        ImmutableMap.Builder<NodeName, Integer> given = ImmutableMap.builder();
        for (int i = 0; i < wantingFirst.size(); i++) {
            given.put(wantingFirst.get(i).holder(), i < slots ? 1 : 0);
        }
        return given.buildOrThrow();
    }

    /** Gives each holder at most what it wants (at least one) and returns what is left. */
    private static int fill(int slots, ImmutableList<Want> rotated, Map<NodeName, Integer> given) {
        List<Want> ascending = new ArrayList<>(rotated);
        ascending.sort(Comparator.comparingInt(Want::atLeastOne));
        int left = slots;
        for (int i = 0; i < ascending.size(); i++) {
            Want want = ascending.get(i);
            int part = Math.min(want.atLeastOne(), left / (ascending.size() - i));
            given.put(want.holder(), part);
            left -= part;
        }
        return left;
    }

    private static void spread(int left, ImmutableList<Want> rotated, Map<NodeName, Integer> given) {
        int part = left / rotated.size();
        int remainder = left % rotated.size();
        for (int i = 0; i < rotated.size(); i++) {
            int extra = part + (i < remainder ? 1 : 0);
            given.merge(rotated.get(i).holder(), extra, Integer::sum);
        }
    }

    private static ImmutableList<Want> rotated(List<Want> wants, long rotation) {
        List<Want> byName = new ArrayList<>(wants);
        byName.sort(Comparator.comparing(Want::holder));
        int start = (int) Math.floorMod(rotation, (long) byName.size());
        ImmutableList.Builder<Want> result = ImmutableList.builder();
        result.addAll(byName.subList(start, byName.size()));
        result.addAll(byName.subList(0, start));
        return result.build();
    }
}
