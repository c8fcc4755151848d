package org.wigeongrade.fleet.control;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.ids.NodeName;

/**
 * The newest formats of log commands that the other control VMs announced in exchanges.
 *
 * <p>Invariant: a control VM that was heard counts until this process ends, as it may come back with the build that it
 * had. Thread safe.
 */
final class PeerFormats {
    private final Map<NodeName, Integer> byPeer = new ConcurrentHashMap<>();

    /** Records what a control VM announced; builds before {@link CommandFormat#WITHDRAWALS} announce nothing. */
    void record(NodeName peer, boolean announced, int format) {
        byPeer.put(peer, announced ? format : CommandFormat.BASE);
    }

    /**
     * Returns the newest format of this build that all voters and every other control VM that was heard support; {@code
     * formatInUse} if there is no newer one.
     */
    int newestCommon(int formatInUse, NodeName self, Set<NodeName> voters) {
        int format = CommandFormat.LATEST;
        while (format > formatInUse && !allSupport(format, self, voters)) {
            format--;
        }
        return Math.max(format, formatInUse);
    }

    /** Returns whether all voters and every other control VM that was heard support a format. */
    boolean allSupport(int format, NodeName self, Set<NodeName> voters) {
        return voters.stream().allMatch(voter -> voter.equals(self) || byPeer.containsKey(voter))
                && byPeer.values().stream().allMatch(announced -> announced >= format);
    }
}
