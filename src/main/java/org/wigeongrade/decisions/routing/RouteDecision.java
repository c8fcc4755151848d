package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.EndpointId;

/**
 * The result of a routing decision, with enough detail to explain it to operators. Immutable; safe for use from any
 * thread.
 */
public sealed interface RouteDecision {
    /** Returns a one-line explanation of the decision. */
    String explanation();

    /** Returns how many endpoints were rejected for each reason. */
    Map<RouteReason, Integer> rejections();

    /** An endpoint was chosen for the request. */
    record Chosen(
            EndpointView endpoint,
            ChoiceReason reason,
            List<Considered> candidatesConsidered,
            Map<RouteReason, Integer> rejections)
            implements RouteDecision {
        public Chosen {
            candidatesConsidered = ImmutableList.copyOf(candidatesConsidered);
            rejections = ImmutableMap.copyOf(rejections);
        }

        @Override
        public String explanation() {
            String considered =
                    candidatesConsidered.stream().map(Considered::toString).collect(Collectors.joining(", "));
            return "chose " + endpoint.id() + " by " + reason.code() + " from " + considered
                    + rejectionSummary(rejections);
        }
    }

    /** No endpoint may receive the request now; it was not sent. */
    record Refused(ErrorKind kind, Map<RouteReason, Integer> rejections) implements RouteDecision {
        public Refused {
            rejections = ImmutableMap.copyOf(rejections);
        }

        @Override
        public String explanation() {
            return "refused as " + kind.code() + rejectionSummary(rejections);
        }
    }

    /** An endpoint that was compared when choosing. */
    record Considered(EndpointId endpoint, double loadRatio, int matchedBlocks) {
        @Override
        public String toString() {
            return endpoint + " (load " + Math.round(loadRatio * 100) + "%, " + matchedBlocks + " cached blocks)";
        }
    }

    private static String rejectionSummary(Map<RouteReason, Integer> rejections) {
        if (rejections.isEmpty()) {
            return "";
        }
        return "; rejected: "
                + rejections.entrySet().stream()
                        .map(entry -> entry.getValue() + " " + entry.getKey().code())
                        .collect(Collectors.joining(", "));
    }
}
