package org.wigeongrade.decisions.balancing;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Divides the requests a second that an endpoint takes among the entry nodes. Each node that may send can be one request
 * ahead of its share, so that a low limit is divided among few nodes. Stateless.
 */
public final class RateLimitShare {
    /** Nodes that may send however low the limit is, so that the loss of one does not leave an endpoint without. */
    private static final int MIN_SENDERS = 2;
    /** Further nodes that may send for each request a second of the limit. */
    private static final int SENDERS_PER_REQUEST_PER_SECOND = 2;

    private RateLimitShare() {}

    /** Returns the nodes that may send; the same ones as long as they are among {@code entryNodes}. */
    public static ImmutableSet<NodeName> senders(
            VmIncarnation endpoint, double requestsPerSecond, Collection<NodeName> entryNodes) {
        final double senders = MIN_SENDERS + SENDERS_PER_REQUEST_PER_SECOND * requestsPerSecond;
        return entryNodes.stream()
                .sorted(Comparator.comparingLong(node -> hash(node, endpoint)))
                .limit((long) Math.min(entryNodes.size(), senders))
                .collect(ImmutableSet.toImmutableSet());
    }

    private static long hash(NodeName node, VmIncarnation endpoint) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(node.value(), StandardCharsets.UTF_8)
                .putString(endpoint.vm().value(), StandardCharsets.UTF_8)
                .putLong(endpoint.incarnation())
                .hash()
                .asLong();
    }
}
