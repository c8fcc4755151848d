package org.wigeongrade.decisions.grouping;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Tracks ordered loads of second models that are not known to be finished.
 *
 * <p>Invariant: a VM has at most one such load at a time. Time is a parameter. Not thread safe.
 */
final class StagingTracker {
    private record StagingLoad(ModelVersionName model, long deadlineNanos) {}

    private final Map<VmIncarnation, StagingLoad> loads = new HashMap<>();

    /** Returns the number of running loads. */
    int runningCount() {
        return loads.size();
    }

    boolean canBegin(ManagedGroup spare, long nowNanos) {
        final StagingLoad running = loads.get(spare.head().vm);
        return running == null || nowNanos - running.deadlineNanos() > 0;
    }

    void recordBegun(SecondModelStaging.Candidate candidate, long nowNanos) {
        final GroupedModel model = candidate.model();
        final long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(GroupTimings.LOAD_TIMEOUT_FACTOR * model.loadMs());
        loads.put(candidate.spare().head().vm, new StagingLoad(model.name(), nowNanos + timeoutNanos));
    }

    /** Removes loads that have finished, that took too long, or whose VM is gone. */
    void removeFinished(PlanningContext context) {
        loads.entrySet().removeIf(load -> {
            final var record = context.vms().get(load.getKey().vm());
            return record == null
                    || !record.vm().equals(load.getKey())
                    || record.heartbeat()
                            .stagedModels()
                            .contains(load.getValue().model())
                    || context.nowNanos() - load.getValue().deadlineNanos() > 0;
        });
    }
}
