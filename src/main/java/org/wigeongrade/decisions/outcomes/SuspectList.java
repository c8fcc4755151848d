package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.NodeName;

/**
 * The leader's reply to a {@link CrashReport}: all suspects of the fleet. {@code acknowledgedSequence} is the sequence
 * number of the last report that the leader applied from the entry VM. Immutable; safe for use from any thread.
 */
public record SuspectList(long acknowledgedSequence, List<Suspect> suspects, Set<String> quarantined) {
    public SuspectList {
        suspects = ImmutableList.copyOf(suspects);
        quarantined = ImmutableSet.copyOf(quarantined);
    }

    /**
     * One suspect request. Only {@code trialHolder} may run it, and must start it within {@code trialNanos} after
     * asking. The limit is a duration, since the two VMs have different clocks.
     */
    public record Suspect(String requestDigest, int endpointsLost, Optional<NodeName> trialHolder, long trialNanos) {}
}
