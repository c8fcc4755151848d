package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.NodeName;

/**
 * The leader's answer to a {@link CrashReport}: all suspects of the fleet. {@code acknowledgedSequence} is that of the
 * reporting entry VM's last report taken in. Immutable; safe for use from any thread.
 */
public record SuspectList(long acknowledgedSequence, List<Suspect> suspects, Set<String> quarantined) {
    public SuspectList {
        suspects = ImmutableList.copyOf(suspects);
        quarantined = ImmutableSet.copyOf(quarantined);
    }

    /**
     * One suspect. Only {@code trialHolder} may run it, and begin no later than {@code trialNanos} after it asked: a span,
     * as it crosses between two clocks.
     */
    public record Suspect(String requestDigest, int endpointsLost, Optional<NodeName> trialHolder, long trialNanos) {}
}
