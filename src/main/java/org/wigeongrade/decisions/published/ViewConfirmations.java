package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.NodeName;

/**
 * Tells a leader when the entry nodes have a published change in force, from what each of them confirmed last.
 *
 * <p>Invariants: a change counts as in force only once every entry node that was heard from recently has confirmed it,
 * and not before entry nodes have had the time to find a new leader; each awaited change ends by its deadline at the
 * latest. Thread safe; futures are completed without holding the lock.
 */
public final class ViewConfirmations {
    /**
     * Longest wait for a change, in milliseconds. A node without a confirmation by then is slow or cut off, and the
     * operator's call has to be answered within a second.
     */
    static final long MAX_WAIT_MS = 700;
    /**
     * Silence, in milliseconds, after which an entry node is not waited for; a node whose pull times out starts another
     * one within less time.
     */
    static final long MAX_SILENCE_MS = 1_000;
    /** Time in milliseconds that entry nodes have to find a new leader. */
    static final long DISCOVERY_MS = 1_000;

    /**
     * The entry nodes when the wait for a change ended.
     *
     * @param waitedMs time since the change was stored, in milliseconds
     * @param missing nodes that were heard from but did not confirm the change in time
     */
    public record Outcome(ViewChange change, int entryNodes, ImmutableSet<NodeName> missing, long waitedMs) {}

    private record Heard(ConfirmedView view, long silentDeadlineNanos) {}

    private record Awaited(
            ViewChange change, long storedNanos, long deadlineNanos, CompletableFuture<Outcome> outcome) {}

    private record Ended(Awaited awaited, Outcome outcome) {}

    /** When entry nodes have had the time to find this leader; empty before its first term. */
    private OptionalLong nodesKnownNanos = OptionalLong.empty();

    private final Map<NodeName, Heard> heardFrom = new HashMap<>();
    private final List<Awaited> awaited = new ArrayList<>();

    /** Forgets the entry nodes, because this node begins to lead. Waits that were added shortly before go on. */
    public synchronized void beginTerm(long nowNanos) {
        heardFrom.clear();
        nodesKnownNanos = OptionalLong.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(DISCOVERY_MS));
    }

    /** Records what an entry node has in force. */
    public void record(NodeName node, ConfirmedView view, long nowNanos) {
        final ImmutableList<Ended> ended;
        synchronized (this) {
            final Heard before =
                    heardFrom.put(node, new Heard(view, nowNanos + TimeUnit.MILLISECONDS.toNanos(MAX_SILENCE_MS)));
            final boolean confirmsMore = before != null && !before.view().equals(view);
            ended = confirmsMore ? removeEnded(nowNanos) : ImmutableList.of();
        }
        complete(ended);
    }

    /**
     * Returns a future of the entry nodes that have the change in force. It fails if {@link #failAll} is called before.
     *
     * @param nowNanos when the change was stored
     */
    public CompletableFuture<Outcome> await(ViewChange change, long nowNanos) {
        final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        final ImmutableList<Ended> ended;
        synchronized (this) {
            awaited.add(new Awaited(change, nowNanos, nowNanos + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS), outcome));
            ended = removeEnded(nowNanos);
        }
        complete(ended);
        return outcome;
    }

    /** Ends the waits whose deadline has passed or whose missing nodes have fallen silent. */
    public void expire(long nowNanos) {
        final ImmutableList<Ended> ended;
        synchronized (this) {
            ended = removeEnded(nowNanos);
        }
        complete(ended);
    }

    /** Fails all waits, because this node does not lead any more. */
    public void failAll() {
        final ImmutableList<Awaited> unfinished;
        synchronized (this) {
            unfinished = ImmutableList.copyOf(awaited);
            awaited.clear();
        }
        unfinished.forEach(wait -> wait.outcome()
                .completeExceptionally(new IllegalStateException(
                        "this node stopped leading before the entry nodes confirmed " + wait.change())));
    }

    private ImmutableList<Ended> removeEnded(long nowNanos) {
        if (awaited.isEmpty()) {
            return ImmutableList.of();
        }
        heardFrom.values().removeIf(heard -> nowNanos - heard.silentDeadlineNanos() >= 0);
        final ImmutableList.Builder<Ended> ended = ImmutableList.builder();
        awaited.removeIf(wait -> {
            final Optional<Outcome> outcome = outcomeOf(wait, nowNanos);
            outcome.ifPresent(known -> ended.add(new Ended(wait, known)));
            return outcome.isPresent();
        });
        return ended.build();
    }

    private Optional<Outcome> outcomeOf(Awaited wait, long nowNanos) {
        final ImmutableSet<NodeName> missing = heardFrom.entrySet().stream()
                .filter(entry -> !wait.change().isInForce(entry.getValue().view()))
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
        final boolean nodesKnown = nodesKnownNanos.isPresent() && nowNanos - nodesKnownNanos.getAsLong() >= 0;
        final boolean confirmed = missing.isEmpty() && nodesKnown;
        if (!confirmed && nowNanos - wait.deadlineNanos() < 0) {
            return Optional.empty();
        }
        final long waitedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - wait.storedNanos());
        return Optional.of(new Outcome(wait.change(), heardFrom.size(), missing, waitedMs));
    }

    private static void complete(ImmutableList<Ended> ended) {
        ended.forEach(end -> end.awaited().outcome().complete(end.outcome()));
    }
}
