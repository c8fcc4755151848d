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
import java.util.function.LongSupplier;
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
 * Finds the leader of the control VMs and calls it, in this process or over Thrift.
 *
 * <p>Invariant: a command is proposed again only if it is idempotent, which every control command is: it carries a change
 * id, a request id or a fencing token. Thread safe; {@code leaderHint} is the only state and may be stale.
 */
public final class ControlLink {
    private static final int PULL_TIMEOUT_MS = 700;
    private static final int SUBMIT_TIMEOUT_MS = 3_500;
    private static final long RETRY_PAUSE_MS = 100;

    private final NodeName self;
    private final Optional<ControlRole> local;
    private final ImmutableMap<NodeName, PeerClient> controlPeers;
    private final LongSupplier nanoClock;
    private volatile Optional<NodeName> leaderHint = Optional.empty();

    /** {@code controlPeers} are the other control VMs. */
    public ControlLink(
            NodeName self,
            Optional<ControlRole> local,
            Map<NodeName, PeerClient> controlPeers,
            LongSupplier nanoClock) {
        this.self = self;
        this.local = local;
        this.controlPeers = ImmutableMap.copyOf(controlPeers);
        this.nanoClock = nanoClock;
    }

    /** Returns the leader as last seen. */
    public Optional<NodeName> leader() {
        return leaderHint;
    }

    /** Pulls from the leader; empty if none of the control VMs answered as leader. */
    public Optional<PullReply> pull(PullRequest request) {
        final List<NodeName> tried = new ArrayList<>();
        Optional<NodeName> next = firstTarget();
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
                    .or(() -> untried(tried));
        }
        leaderHint = Optional.empty();
        return Optional.empty();
    }

    /**
     * Proposes a command to the leader, again until a result is known or the deadline passes.
     *
     * @throws WigeongradeException with kind CONTROL_UNAVAILABLE if the command surely took no effect, OUTCOME_UNKNOWN if
     *     it may take effect
     */
    public CommandResult submit(Command command, long deadlineNanos) {
        final byte[] encoded = ControlCodec.encode(command);
        boolean mayTakeEffect = false;
        WigeongradeException last =
                new WigeongradeException(ErrorKind.CONTROL_UNAVAILABLE, "no control VM answered before the deadline");
        while (nanoClock.getAsLong() - deadlineNanos < 0) {
            for (final NodeName node : targets()) {
                try {
                    final CommandResult result = ControlCodec.decodeResult(submitTo(node, encoded));
                    leaderHint = Optional.of(node);
                    return result;
                } catch (WigeongradeException failure) {
                    last = failure;
                    mayTakeEffect |= failure.kind() != ErrorKind.CONTROL_UNAVAILABLE;
                }
            }
            Uninterruptibles.sleepUninterruptibly(RETRY_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        final ErrorKind kind = mayTakeEffect ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.CONTROL_UNAVAILABLE;
        throw new WigeongradeException(kind, last.getMessage(), last);
    }

    private Optional<NodeName> firstTarget() {
        return targets().stream().findFirst();
    }

    private Optional<NodeName> untried(List<NodeName> tried) {
        return targets().stream().filter(name -> !tried.contains(name)).findFirst();
    }

    /** Returns the control VMs, the leader as last seen first. */
    private ImmutableList<NodeName> targets() {
        final ImmutableList.Builder<NodeName> names = ImmutableList.builder();
        leaderHint.ifPresent(names::add);
        local.flatMap(ControlRole::leader).ifPresent(names::add);
        if (local.isPresent()) {
            names.add(self);
        }
        names.addAll(controlPeers.keySet());
        return names.build().stream().distinct().collect(ImmutableList.toImmutableList());
    }

    private Optional<PullReply> pullFrom(NodeName node, PullRequest request) {
        try {
            if (node.equals(self)) {
                return local.map(control -> control.pull(request));
            }
            return Optional.ofNullable(controlPeers.get(node))
                    .map(peer -> peer.call(PULL_TIMEOUT_MS, client -> client.pull(request)));
        } catch (WigeongradeException failure) {
            return Optional.empty();
        }
    }

    private byte[] submitTo(NodeName node, byte[] command) {
        if (node.equals(self)) {
            return local.orElseThrow(() -> unknownNode(node)).submit(command);
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
                ErrorKind.CONTROL_UNAVAILABLE, "node '" + node + "' is no control VM of this VM's settings");
    }
}
