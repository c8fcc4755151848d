package org.wigeongrade.decisions.limits;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.NodeName;

/** Division of the slots of a limit among three holders. */
final class FairDivisionTest {
    @ParameterizedTest(name = "{0} slots, demands {1}, {2}, {3}, rotation {4}: {5}")
    @CsvSource({
        "9, 3, 3, 3, 0, 3 3 3",
        "9, 9, 9, 9, 0, 3 3 3",
        "9, 100, 1, 1, 0, 7 1 1",
        "9, 0, 0, 0, 0, 3 3 3",
        "9, 100, 100, 1, 0, 4 4 1",
        "10, 3, 3, 3, 0, 4 3 3",
        "10, 3, 3, 3, 1, 3 4 3",
        "2, 5, 5, 5, 0, 1 1 0",
        "2, 5, 5, 5, 1, 0 1 1",
        "1, 0, 0, 5, 0, 0 0 1",
        "0, 5, 5, 5, 0, 0 0 0",
    })
    void divides(int slots, int a, int b, int c, long rotation, String expected) {
        ImmutableList<FairDivision.Demand> demands = ImmutableList.of(demand("a", a), demand("b", b), demand("c", c));
        var allotted = FairDivision.divide(slots, demands, rotation);
        String text = allotted.get(NodeName.of("a")) + " " + allotted.get(NodeName.of("b")) + " "
                + allotted.get(NodeName.of("c"));
        assertThat(text).isEqualTo(expected);
    }

    private static FairDivision.Demand demand(String holder, int wanted) {
        return new FairDivision.Demand(NodeName.of(holder), wanted);
    }
}
