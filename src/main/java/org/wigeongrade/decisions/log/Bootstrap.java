package org.wigeongrade.decisions.log;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wigeongrade.ids.NodeName;

/**
 * Starts a brand-new cluster: only the first configured voter may, and only after every configured voter answered one
 * round of probes that its folder is brand-new too.
 *
 * <p>Invariant: a folder that was ever lost, or that holds a term or an entry, never counts as brand-new. Not thread
 * safe.
 */
final class Bootstrap {
    private static final long FIRST_TERM = 1;

    private final CoreState state;
    private final Map<NodeName, Long> emptyIncarnations = new TreeMap<>();
    private long round;
    private long nextProbeNanos;

    Bootstrap(CoreState state, long nowNanos) {
        this.state = state;
        this.nextProbeNanos = nowNanos;
    }

    void tick(long nowNanos) {
        if (!mayStart() || nowNanos - nextProbeNanos < 0) {
            return;
        }
        nextProbeNanos = nowNanos + state.settings.timings().electionMinNanos();
        round++;
        emptyIncarnations.clear();
        emptyIncarnations.put(state.self.name(), state.self.incarnation());
        LogMessage probe = new LogMessage.EmptyProbe(round, state.settings.configuredVoters());
        state.settings.configuredVoters().stream()
                .filter(peer -> !peer.equals(state.self.name()))
                .forEach(peer -> state.send(peer, probe));
        startIfAllEmpty();
    }

    void onProbe(NodeName from, LogMessage.EmptyProbe probe) {
        boolean sameVoters = probe.configuredVoters().equals(state.settings.configuredVoters());
        boolean empty = sameVoters && state.mayBootstrap && state.isEmpty();
        state.send(from, new LogMessage.EmptyProbeReply(probe.round(), state.self.incarnation(), empty));
    }

    void onReply(NodeName from, LogMessage.EmptyProbeReply reply) {
        if (!mayStart() || reply.round() != round || !reply.empty()) {
            return;
        }
        emptyIncarnations.put(from, reply.incarnation());
        startIfAllEmpty();
    }

    private boolean mayStart() {
        return state.mayBootstrap && state.isEmpty() && state.settings.isBootstrapper();
    }

    private void startIfAllEmpty() {
        if (!emptyIncarnations.keySet().equals(state.settings.configuredVoters())) {
            return;
        }
        state.adoptTerm(FIRST_TERM, Optional.of(state.self.name()));
        Membership initial = Membership.of(emptyIncarnations);
        state.append(LogEntry.after(Position.START, FIRST_TERM, EntryKind.MEMBERSHIP, initial.encode()));
    }
}
