package org.wigeongrade.decisions.grouping;

import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.published.GroupedModel;

/** What a VM must do before it can serve in a group of a model. Immutable; safe for use from any thread. */
enum Readiness {
    /** The model was that of the VM's latest group. */
    WARM {
        @Override
        long joinMs(GroupedModel model) {
            return REJOIN_MS;
        }
    },
    /** The weights lie on the host. */
    STAGED {
        @Override
        long joinMs(GroupedModel model) {
            return model.warmupMs();
        }
    },
    /** The weights must come from the weight store. */
    EMPTY {
        @Override
        long joinMs(GroupedModel model) {
            return model.loadMs() + model.warmupMs();
        }
    };

    /** Time of a join whose model the VM held last, by the engines' contract. */
    private static final long REJOIN_MS = 200;

    /** Returns about how long a join takes. */
    abstract long joinMs(GroupedModel model);

    static Readiness of(VmHeartbeat vm, GroupedModel model) {
        if (vm.loadedModel().filter(model.name()::equals).isPresent()) {
            return WARM;
        }
        return vm.stagedModels().contains(model.name()) ? STAGED : EMPTY;
    }
}
