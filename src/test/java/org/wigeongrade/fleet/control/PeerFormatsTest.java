package org.wigeongrade.fleet.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.ids.NodeName;

/** A control VM of an older build ended when it had to apply a command that it did not know. */
final class PeerFormatsTest {
    private static final NodeName SELF = NodeName.of("self");

    @ParameterizedTest
    @CsvSource({
        // voters, control VMs that announced the format, ones that announced none, whether the format may be used
        "self, '', '', true",
        "self a b, a b, '', true",
        "self a b, a, '', false",
        "self a b, a, b, false",
        "self a b, a b, spare, false",
        "self a b, a b spare, '', true",
        "a b, a b, '', true",
    })
    void formatIsUsedOnlyIfEveryControlVmSupportsIt(String voters, String newer, String older, boolean used) {
        final PeerFormats formats = new PeerFormats();
        names(newer).forEach(peer -> formats.record(peer, true, CommandFormat.WITHDRAWALS));
        names(older).forEach(peer -> formats.record(peer, false, 0));

        assertThat(formats.allSupport(CommandFormat.WITHDRAWALS, SELF, names(voters)))
                .isEqualTo(used);
    }

    /** Beside builds that know no groups, a VM's statement that it leaves was kept in memory only. */
    @ParameterizedTest
    @CsvSource({
        // format in use, formats that the voters a and b announced, format to use
        "1, 3 3, 3",
        "1, 3 2, 2",
        "1, 2 2, 2",
        "1, 1 3, 1",
        "2, 2 3, 2",
        "2, 1 3, 2",
        "2, 3 3, 3",
        "3, 2 3, 3",
        "1, 9 9, 3",
    })
    void usesTheNewestFormatThatEveryControlVmSupports(int inUse, String announced, int expected) {
        final PeerFormats formats = new PeerFormats();
        final List<String> byPeer = Splitter.on(' ').splitToList(announced);
        formats.record(NodeName.of("a"), true, Integer.parseInt(byPeer.get(0)));
        formats.record(NodeName.of("b"), true, Integer.parseInt(byPeer.get(1)));

        assertThat(formats.newestCommon(inUse, SELF, names("self a b"))).isEqualTo(expected);
    }

    private static ImmutableSet<NodeName> names(String text) {
        return Splitter.on(' ')
                .omitEmptyStrings()
                .splitToStream(text)
                .map(NodeName::of)
                .collect(ImmutableSet.toImmutableSet());
    }
}
