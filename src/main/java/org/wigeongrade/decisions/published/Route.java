package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.wigeongrade.ids.RouteName;
import org.wigeongrade.ids.ServiceName;

/**
 * Where the requests of one host and path prefix go, and what may be done with them.
 *
 * <p>Invariant: the prefix begins and ends with a slash. Immutable; safe for use from any thread.
 *
 * @param timeoutMs longest time that a caller is kept waiting for the whole answer
 * @param targetLatencyMs time to the answer, or to the first event of a stream, that counts as on time
 * @param targetPauseMs longest pause between two events that counts as on time; 0 where nothing is streamed
 * @param priority rank of the route's requests, 0 first
 * @param maxAttempts endpoints that one request may be sent to
 * @param anonymous whether a request needs no key
 * @param resumable whether a stream may go on at another endpoint
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

    /** Returns whether a request that may have run may be sent once more. */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /** Returns the service at a point of the weights, {@code point} from 0 to less than 1. */
    public ServiceName targetAt(double point) {
        double rest = point * totalWeight();
        for (final WeightedTarget target : targets) {
            rest -= target.weight();
            if (rest < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    double totalWeight() {
        return targets.stream().mapToDouble(WeightedTarget::weight).sum();
    }
}
