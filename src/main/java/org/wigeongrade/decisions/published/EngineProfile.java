package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.ids.ModelVersionName;

/**
 * Published parameters of a service's engines: batch sizes, step times and load limits. Immutable; safe for use from
 * any thread.
 *
 * @param slots number of requests that one group runs at once
 * @param stepsPerPass decode steps of one pass that has decoding requests; an event carries as many tokens
 * @param stepMs base time of a decode step
 * @param perSequenceMs additional time of a step for each decoding request
 * @param contextMsPerKilotoken additional time of a step for each 1,000 tokens of a decoding request's context
 * @param prefillTokensPerSecond prompt tokens prefilled per second
 * @param attentionMsPerMillionPairs additional time of prefill for each million pairs of a token and an earlier one,
 * which is the cost of attention
 * @param prefillChunkTokens maximum number of prompt tokens prefilled in one step
 * @param loadsPerSecond number of loads from the weight store that may start per second, over all VMs
 * @param maxConcurrentLoads number of loads that can run at once without slowing each other down
 * @param formationMs time from the order to open a group until the group serves
 * @param crossDomainFactor factor on all latencies of a group whose members are in several fabric domains
 */
public record EngineProfile(
        int slots,
        int stepsPerPass,
        List<GroupedModel> models,
        double stepMs,
        double perSequenceMs,
        double contextMsPerKilotoken,
        double prefillTokensPerSecond,
        double attentionMsPerMillionPairs,
        int prefillChunkTokens,
        double loadsPerSecond,
        int maxConcurrentLoads,
        long formationMs,
        double crossDomainFactor) {
    public EngineProfile {
        models = ImmutableList.copyOf(models);
    }

    /** Returns the model with this name. */
    public Optional<GroupedModel> model(ModelVersionName name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }
}
