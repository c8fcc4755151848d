package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Sets;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wigeongrade.ids.NodeName;

/**
 * The voters, each with the incarnation of its data folder.
 *
 * <p>Invariant: at most one incarnation of each node is a voter. Immutable; safe for use from any thread.
 */
public record Membership(ImmutableSortedMap<NodeName, Long> incarnations) {
    /** No voters: the membership of a replica whose log and snapshot hold none yet. */
    public static final Membership NONE = new Membership(ImmutableSortedMap.of());

    /** Returns the membership that consists of these voters. */
    public static Membership of(Map<NodeName, Long> incarnations) {
        return new Membership(ImmutableSortedMap.copyOf(incarnations));
    }

    public boolean isVoter(Member member) {
        return Optional.ofNullable(incarnations.get(member.name()))
                .filter(incarnation -> incarnation == member.incarnation())
                .isPresent();
    }

    /** Returns how many voters form a quorum. */
    public int quorum() {
        return incarnations.size() / 2 + 1;
    }

    /** Returns this membership without a node. */
    public Membership without(NodeName name) {
        Map<NodeName, Long> rest = new TreeMap<>(incarnations);
        rest.remove(name);
        return of(rest);
    }

    /**
     * Returns this membership with one more voter; throws {@link IllegalArgumentException} if the node is a voter
     * already, under any incarnation.
     */
    public Membership with(Member member) {
        Map<NodeName, Long> more = new TreeMap<>(incarnations);
        if (more.putIfAbsent(member.name(), member.incarnation()) != null) {
            throw new IllegalArgumentException("voter " + member.name() + " must be removed before it is added again");
        }
        return of(more);
    }

    /**
     * Returns whether {@code next} adds or removes exactly one voter. Then every quorum of the one membership overlaps
     * every quorum of the other.
     */
    boolean differsByOneVoter(Membership next) {
        return Sets.symmetricDifference(incarnations.entrySet(), next.incarnations.entrySet())
                        .size()
                == 1;
    }

    /** Encodes the voters in UTF-8, each as a line {@code name incarnation}. */
    public Bytes encode() {
        StringBuilder text = new StringBuilder();
        incarnations.forEach((name, incarnation) ->
                text.append(name.value()).append(' ').append(incarnation).append('\n'));
        return Bytes.wrap(text.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Decodes the output of {@link #encode}; throws {@link IllegalArgumentException} if it is malformed. */
    public static Membership decode(Bytes bytes) {
        String text =
                StandardCharsets.UTF_8.decode(ByteBuffer.wrap(bytes.array())).toString();
        Map<NodeName, Long> voters = new TreeMap<>();
        text.lines().forEach(line -> addLine(voters, line));
        return of(voters);
    }

    private static void addLine(Map<NodeName, Long> voters, String line) {
        int space = line.indexOf(' ');
        if (space < 0) {
            throw new IllegalArgumentException("membership line '" + line + "' has no incarnation");
        }
        voters.put(NodeName.of(line.substring(0, space)), Long.parseLong(line.substring(space + 1)));
    }
}
