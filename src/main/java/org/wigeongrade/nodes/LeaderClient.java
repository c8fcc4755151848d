package org.wigeongrade.nodes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.Uninterruptibles;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.decisions.control.ControlCodec;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.control.ControlRole;
import org.wigeongrade.nodes.thrift.PullReply;
import org.wigeongrade.nodes.thrift.PullRequest;

/**
 * Client of the leader of the control VMs: finds the leader and calls it, within this process or over Thrift.
 *
 * <p>Invariant: only idempotent commands are proposed again. Every control command is idempotent, since it carries a
 * change id, a request id or a fencing token. Thread safe; {@code leaderHint} is the only state and may be stale.
 */
public final class LeaderClient {
    private static final int PULL_TIMEOUT_MS = 700;
    private static final int SUBMIT_TIMEOUT_MS = 3_500;
    private static final long RETRY_PAUSE_MS = 100;

    private final NodeName self;
    private final Optional<ControlRole> localControl;
    private final ImmutableMap<NodeName, PeerClient> controlPeers;
    private final WaitClock waitClock;
    private volatile Optional<NodeName> leaderHint = Optional.empty();

    /** {@code controlPeers} are the other control VMs. */
    public LeaderClient(
            NodeName self,
            Optional<ControlRole> localControl,
            Map<NodeName, PeerClient> controlPeers,
            WaitClock waitClock) {
        this.self = self;
        this.localControl = localControl;
        this.controlPeers = ImmutableMap.copyOf(controlPeers);
        this.waitClock = waitClock;
    }

    /** Returns the last known leader; it may be stale. */
    public Optional<NodeName> leader() {
        return leaderHint;
    }

    /** Pulls from the leader; returns empty if no control VM replied as the leader. */
    public Optional<PullReply> pull(PullRequest request) {
        final List<NodeName> tried = new ArrayList<>();
        Optional<NodeName> next = firstCandidate();
        while (next.isPresent()) {
            tried.add(next.get());
            final Optional<PullReply> reply = pullFrom(next.get(), request);
            if (reply.isPresent() && reply.get().isLeads()) {
                leaderHint = next;
                return reply;
            }
            next = reply.map(PullReply::getLeader)
                    .filter(name -> !name.isEmpty())
                    .map(NodeName::new)
                    .filter(name -> !tried.contains(name))
                    .or(() -> firstUntried(tried));
        }
        leaderHint = Optional.empty();
        return Optional.empty();
    }

    /**
     * Proposes a command to the leader, and retries until the result is known or the deadline passes.
     *
     * @throws WigeongradeException with kind CONTROL_UNAVAILABLE if the command certainly had no effect,
     *     OUTCOME_UNKNOWN if it may have or may still take effect
     */
    public CommandResult submit(Command command, long deadlineNanos) {
        final byte[] encoded = ControlCodec.encode(command);
        boolean mayTakeEffect = false;
        WigeongradeException lastFailure =
                new WigeongradeException(ErrorKind.CONTROL_UNAVAILABLE, "no control VM replied before the deadline");
        while (waitClock.nowNanos() - deadlineNanos < 0) {
            for (final NodeName node : candidates()) {
                try {
                    final CommandResult result = ControlCodec.decodeResult(submitTo(node, encoded));
                    leaderHint = Optional.of(node);
                    return result;
                } catch (WigeongradeException failure) {
                    lastFailure = failure;
                    mayTakeEffect |= failure.kind() != ErrorKind.CONTROL_UNAVAILABLE;
                }
            }
            Uninterruptibles.sleepUninterruptibly(RETRY_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        final ErrorKind kind = mayTakeEffect ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.CONTROL_UNAVAILABLE;
        throw new WigeongradeException(kind, lastFailure.getMessage(), lastFailure);
    }

    private Optional<NodeName> firstCandidate() {
        return candidates().stream().findFirst();
    }

    private Optional<NodeName> firstUntried(List<NodeName> tried) {
        return candidates().stream().filter(name -> !tried.contains(name)).findFirst();
    }

    /** Returns the control VMs, starting with the last known leader. */
    private ImmutableList<NodeName> candidates() {
        final ImmutableList.Builder<NodeName> names = ImmutableList.builder();
        leaderHint.ifPresent(names::add);
        localControl.flatMap(ControlRole::leader).ifPresent(names::add);
        if (localControl.isPresent()) {
            names.add(self);
        }
        names.addAll(controlPeers.keySet());
        return names.build().stream().distinct().collect(ImmutableList.toImmutableList());
    }

    private Optional<PullReply> pullFrom(NodeName node, PullRequest request) {
        try {
            if (node.equals(self)) {
                return localControl.map(control -> control.pull(request));
            }
            return Optional.ofNullable(controlPeers.get(node))
                    .map(peer -> peer.call(PULL_TIMEOUT_MS, client -> client.pull(request)));
        } catch (WigeongradeException failure) {
            return Optional.empty();
        }
    }

    private byte[] submitTo(NodeName node, byte[] command) {
        if (node.equals(self)) {
            return localControl.orElseThrow(() -> unknownNode(node)).submit(command);
        }
        final PeerClient peer = controlPeers.get(node);
        if (peer == null) {
            throw unknownNode(node);
        }
        final ByteBuffer result = peer.call(SUBMIT_TIMEOUT_MS, client -> client.submit(ByteBuffer.wrap(command)));
        final byte[] bytes = new byte[result.remaining()];
        result.get(bytes);
        return bytes;
    }

    private static WigeongradeException unknownNode(NodeName node) {
        return new WigeongradeException(
                ErrorKind.CONTROL_UNAVAILABLE,
                "node '" + node + "' is not listed as a control VM in this VM's settings");
    }
}
