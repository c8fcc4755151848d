package org.wigeongrade.decisions.balancing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Limits for the placement decisions of one entry node. Immutable; safe for use from any thread.
 *
 * @param coldSendsPerSecond this node's share of the requests per second that one cold endpoint may get
 * @param entryNodes number of entry nodes, which all decide by nearly the same view of the fleet
 * @param nodeHash hash of this node's name, by which nodes choose different cold endpoints
 */
public record BalancingLimits(double coldSendsPerSecond, int entryNodes, int nodeHash) {
    private static final double HASH_RANGE = 1L << 32;

    /**
     * Returns how many requests this node may send to a cold endpoint within one second. If its share is less than one
     * request, only some nodes may send one: each endpoint is served by as many as its limit allows.
     */
    int maxColdSends(VmIncarnation vm) {
        if (coldSendsPerSecond >= 1) {
            return (int) Math.min(Integer.MAX_VALUE, coldSendsPerSecond);
        }
        final int hash = Hashing.murmur3_32_fixed()
                .newHasher()
                .putInt(nodeHash)
                .putString(vm.vm().value(), StandardCharsets.UTF_8)
                .putLong(vm.incarnation())
                .hash()
                .asInt();
        return Integer.toUnsignedLong(hash) < coldSendsPerSecond * HASH_RANGE ? 1 : 0;
    }
}
