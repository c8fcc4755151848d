package org.wigeongrade.decisions.reachability;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;

/** Tests which entry nodes the leader names to a node that may have to relay its requests. */
final class RelayDirectoryTest {
    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    private final RelayDirectory directory = new RelayDirectory(TimeUnit.MILLISECONDS.toNanos(250));

    @ParameterizedTest
    @CsvSource({"1, 0", "2, 1", "3, 2", "7, 6", "100, 6", "340, 6"})
    void eachNodeIsToldAFewOthers(int nodes, int named) {
        register(nodes, 0);

        for (int reader = 0; reader < nodes; reader++) {
            final List<String> addresses = addressesFor(reader, 0);
            assertThat(addresses).hasSize(expected(nodes, reader, named));
            assertThat(addresses).doesNotContain(address(reader));
            assertThat(addresses).containsNoDuplicates();
        }
    }

    /** With few nodes, those of the reader's own zone or of the others may be fewer than are named of each. */
    private static int expected(int nodes, int reader, int named) {
        final int inZone = (int) IntStream.range(0, nodes)
                .filter(node -> node != reader && zone(node).equals(zone(reader)))
                .count();
        final int elsewhere = nodes - 1 - inZone;
        return Math.min(named, Math.min(3, inZone) + Math.min(3, elsewhere));
    }

    /** Pattern: a whole zone of a large fleet is cut; its requests spread over the nodes of the other zones. */
    @Test
    void nodesOfAZoneThatIsCutSpreadOverTheOthers() {
        final int nodes = 300;
        register(nodes, 0);
        IntStream.range(0, nodes)
                .filter(node -> zone(node).equals(AvailabilityZone.of("zone-a")))
                .forEach(node -> directory.record(name(node), zone(node), Optional.empty(), 0));

        final Multiset<String> named = HashMultiset.create();
        for (int reader = 0; reader < nodes; reader += ZONES.size()) {
            final List<String> addresses = addressesFor(reader, 0);
            assertThat(addresses).hasSize(3);
            named.addAll(addresses);
        }

        assertThat(named.elementSet().size()).isAtLeast(nodes / 3);
        named.entrySet().forEach(entry -> assertThat(entry.getCount()).isAtMost(12));
    }

    @Test
    void nodeThatNoLongerPullsIsNotNamed() {
        register(3, 0);
        final long laterNanos = TimeUnit.MILLISECONDS.toNanos(1_500);
        directory.record(name(1), zone(1), Optional.of(address(1)), laterNanos);

        assertThat(addressesFor(0, laterNanos)).containsExactly(address(1));
        directory.record(name(2), zone(2), Optional.of(address(2)), laterNanos);
        assertThat(addressesFor(0, laterNanos)).containsExactly(address(1), address(2));
    }

    private void register(int nodes, long nowNanos) {
        IntStream.range(0, nodes)
                .forEach(node -> directory.record(name(node), zone(node), Optional.of(address(node)), nowNanos));
    }

    private List<String> addressesFor(int reader, long nowNanos) {
        return directory.addressesFor(name(reader), zone(reader), nowNanos);
    }

    private static NodeName name(int node) {
        return NodeName.of("entry-" + node);
    }

    private static AvailabilityZone zone(int node) {
        return AvailabilityZone.of(ZONES.get(node % ZONES.size()));
    }

    private static String address(int node) {
        return "10.0." + node / 250 + "." + node % 250 + ":7343";
    }
}
