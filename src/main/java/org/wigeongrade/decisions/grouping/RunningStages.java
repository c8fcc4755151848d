package org.wigeongrade.decisions.grouping;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * The loads of second models that were ordered and are not known to be done.
 *
 * <p>Invariant: a VM is asked for one such load at a time. Time is a parameter. Not thread safe.
 */
final class RunningStages {
    private record Stage(ModelVersionName model, long deadlineNanos) {}

    private final Map<VmIncarnation, Stage> stages = new HashMap<>();

    /** Returns how many loads run. */
    int running() {
        return stages.size();
    }

    boolean mayBegin(ManagedGroup spare, long nowNanos) {
        final Stage running = stages.get(spare.head().vm);
        return running == null || nowNanos - running.deadlineNanos() > 0;
    }

    void begun(SecondModel.Choice choice, long nowNanos) {
        final GroupedModel model = choice.model();
        final long patienceNanos = TimeUnit.MILLISECONDS.toNanos(GroupTimings.LOAD_PATIENCE * model.loadMs());
        stages.put(choice.spare().head().vm, new Stage(model.name(), nowNanos + patienceNanos));
    }

    /** Forgets loads whose weights are there, that took too long, or whose VM has gone. */
    void forgetDone(GroupSurroundings around) {
        stages.entrySet().removeIf(stage -> {
            final var record = around.vms().get(stage.getKey().vm());
            return record == null
                    || !record.vm().equals(stage.getKey())
                    || record.heartbeat()
                            .stagedModels()
                            .contains(stage.getValue().model())
                    || around.nowNanos() - stage.getValue().deadlineNanos() > 0;
        });
    }
}
