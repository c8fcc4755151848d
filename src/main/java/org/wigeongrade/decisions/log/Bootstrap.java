package org.wigeongrade.decisions.log;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wigeongrade.ids.NodeName;

/**
 * Bootstraps a new cluster. Only the first configured voter does this, and only after all other configured voters have
 * confirmed in a single round of probes that their data folders are new too.
 *
 * <p>Invariant: a folder never counts as new if it holds a term or an entry, or if the node lost an earlier folder. Not
 * thread safe.
 */
final class Bootstrap {
    private static final long FIRST_TERM = 1;

    private final CoreState state;
    private final Map<NodeName, Long> emptyVoters = new TreeMap<>();
    private long round;
    private long nextProbeNanos;

    Bootstrap(CoreState state, long nowNanos) {
        this.state = state;
        this.nextProbeNanos = nowNanos;
    }

    void tick(long nowNanos) {
        if (!canBootstrap() || nowNanos - nextProbeNanos < 0) {
            return;
        }
        nextProbeNanos = nowNanos + state.settings.timings().electionMinNanos();
        round++;
        emptyVoters.clear();
        emptyVoters.put(state.self.name(), state.self.incarnation());
        LogMessage probe = new LogMessage.EmptyProbe(round, state.settings.configuredVoters());
        state.settings.configuredVoters().stream()
                .filter(peer -> !peer.equals(state.self.name()))
                .forEach(peer -> state.send(peer, probe));
        startClusterIfAllEmpty();
    }

    void onProbe(NodeName from, LogMessage.EmptyProbe probe) {
        boolean sameVoters = probe.configuredVoters().equals(state.settings.configuredVoters());
        boolean empty = sameVoters && state.mayBootstrap && state.isEmpty();
        state.send(from, new LogMessage.EmptyProbeReply(probe.round(), state.self.incarnation(), empty));
    }

    void onReply(NodeName from, LogMessage.EmptyProbeReply reply) {
        if (!canBootstrap() || reply.round() != round || !reply.empty()) {
            return;
        }
        emptyVoters.put(from, reply.incarnation());
        startClusterIfAllEmpty();
    }

    private boolean canBootstrap() {
        return state.mayBootstrap && state.isEmpty() && state.settings.isBootstrapper();
    }

    private void startClusterIfAllEmpty() {
        if (!emptyVoters.keySet().equals(state.settings.configuredVoters())) {
            return;
        }
        state.adoptTerm(FIRST_TERM, Optional.of(state.self.name()));
        Membership initial = Membership.of(emptyVoters);
        state.append(LogEntry.after(Position.START, FIRST_TERM, EntryKind.MEMBERSHIP, initial.encode()));
    }
}
