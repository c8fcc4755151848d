package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.ids.ModelVersionName;

/**
 * How the engines of a service batch and how long their steps take, as published. Immutable; safe for use from any thread.
 *
 * @param slots requests that one group runs at once
 * @param strideSteps token steps of one pass that has writers; an event holds as many tokens
 * @param stepMs time of a token step
 * @param perSequenceMs additional time of a step for each request that writes
 * @param contextMsPerKilotoken additional time of a step for each 1,000 tokens of context
 * @param readTokensPerSecond prompt tokens that are read in a second
 * @param pairsMsPerMillion additional time of reading for each million pairs of a token and an earlier one
 * @param chunkTokens prompt tokens that are read in one step at most
 * @param loadsPerSecond loads from the weight store that may begin in a second, over all VMs
 * @param loadsAtOnce loads that may run at once without slowing each other
 * @param formationMs time from the order to open a group until it serves
 * @param farFactor factor on all times of a group whose members lie in several fabric domains
 */
public record EngineProfile(
        int slots,
        int strideSteps,
        List<GroupedModel> models,
        double stepMs,
        double perSequenceMs,
        double contextMsPerKilotoken,
        double readTokensPerSecond,
        double pairsMsPerMillion,
        int chunkTokens,
        double loadsPerSecond,
        int loadsAtOnce,
        long formationMs,
        double farFactor) {
    public EngineProfile {
        models = ImmutableList.copyOf(models);
    }

    /** Returns the model with this name. */
    public Optional<GroupedModel> model(ModelVersionName name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }
}
