package org.wigeongrade.decisions.published;

import org.wigeongrade.ids.ModelVersionName;

/**
 * A model whose replicas are groups of VMs. Immutable; safe for use from any thread.
 *
 * @param groupSize number of VMs in one group
 * @param share fraction of the service's VMs that the model needs at the start, from 0 to 1
 * @param paceFactor factor on all latencies of the model's groups
 * @param loadMs time to load the weights from the weight store
 * @param warmupMs time to load the weights from the VM's own host
 */
public record GroupedModel(
        ModelVersionName name, int groupSize, double share, double paceFactor, long loadMs, long warmupMs) {}
