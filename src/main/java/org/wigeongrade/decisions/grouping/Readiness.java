package org.wigeongrade.decisions.grouping;

import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.published.GroupedModel;

/** How much a VM has to do before it can serve in a group of a model. Immutable; safe for use from any thread. */
enum Readiness {
    /** The VM's latest group had the same model, so the weights are loaded. */
    WARM {
        @Override
        long estimatedJoinMs(GroupedModel model) {
            return REJOIN_MS;
        }
    },
    /** The weights are on the host and must be loaded from there. */
    STAGED {
        @Override
        long estimatedJoinMs(GroupedModel model) {
            return model.warmupMs();
        }
    },
    /** The weights must be loaded from the weight store. */
    NEEDS_LOAD {
        @Override
        long estimatedJoinMs(GroupedModel model) {
            return model.loadMs() + model.warmupMs();
        }
    };

    /** Time to join a group of the model that the VM has loaded, as the engines guarantee. */
    private static final long REJOIN_MS = 200;

    /** Returns the estimated time to join. */
    abstract long estimatedJoinMs(GroupedModel model);

    static Readiness of(VmHeartbeat vm, GroupedModel model) {
        if (vm.loadedModel().filter(model.name()::equals).isPresent()) {
            return WARM;
        }
        return vm.stagedModels().contains(model.name()) ? STAGED : NEEDS_LOAD;
    }
}
