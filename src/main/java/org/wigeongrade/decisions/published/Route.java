package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.wigeongrade.ids.RouteName;
import org.wigeongrade.ids.ServiceName;

/**
 * Targets and request handling for one host and path prefix.
 *
 * <p>Invariant: the prefix begins and ends with a slash. Immutable; safe for use from any thread.
 *
 * @param timeoutMs maximum time until the caller has the complete response
 * @param targetLatencyMs maximum time to the response, or to the first event of a stream, that counts as on time
 * @param targetPauseMs maximum pause between two events that counts as on time; 0 where nothing is streamed
 * @param priority priority of the route's requests; 0 is the highest
 * @param maxAttempts maximum number of endpoints that one request is sent to
 * @param anonymous whether a request needs no key
 * @param resumable whether a stream may be resumed on another endpoint
 */
public record Route(
        RouteName name,
        String hostname,
        String pathPrefix,
        RouteKind kind,
        long timeoutMs,
        long targetLatencyMs,
        long targetPauseMs,
        int priority,
        List<WeightedTarget> targets,
        int maxAttempts,
        boolean anonymous,
        boolean resumable) {
    public Route {
        targets = ImmutableList.copyOf(targets);
    }

    /** Returns whether a request that may have run may be retried. */
    public boolean mayRetry() {
        return kind.mayRetry(resumable);
    }

    /**
     * Returns the service for a random {@code point}, at least 0 and less than 1; each service covers a range in
     * proportion to its weight.
     */
    public ServiceName targetAt(double point) {
        double remaining = point * totalWeight();
        for (final WeightedTarget target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    double totalWeight() {
        return targets.stream().mapToDouble(WeightedTarget::weight).sum();
    }
}
