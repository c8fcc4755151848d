package org.wigeongrade.fleet.control;

import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.discovery.HeartbeatOutcome;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;

/**
 * Records the heartbeats that arrive at this node, from VMs or relayed by other control VMs, and lets those that contradict
 * known VMs be looked into at once. Thread safe.
 */
final class HeartbeatIntake {
    private final VmRegistry registry;
    private final ConflictInvestigator conflicts;
    private final EventLog events;

    HeartbeatIntake(VmRegistry registry, ConflictInvestigator conflicts, EventLog events) {
        this.registry = registry;
        this.conflicts = conflicts;
        this.events = events;
    }

    /** Records a heartbeat that a control VM received at the given time. */
    HeartbeatOutcome record(VmHeartbeat heartbeat, long receivedNanos) {
        final boolean wasContested = registry.verdictOn(heartbeat).isPresent();
        final HeartbeatOutcome outcome = registry.recordHeartbeat(heartbeat, receivedNanos);
        if (outcome == HeartbeatOutcome.CONTESTED) {
            if (!wasContested) {
                logContested(heartbeat, receivedNanos);
            }
            conflicts.investigate();
        }
        return outcome;
    }

    private void logContested(VmHeartbeat heartbeat, long receivedNanos) {
        for (final VmRecord rival : registry.rivalsOf(heartbeat)) {
            events.write(
                    LogEvent.ENDPOINT_CONTESTED,
                    heartbeat.vm(),
                    heartbeat.service(),
                    heartbeat.address(),
                    rival.vm(),
                    TimeUnit.NANOSECONDS.toMillis(rival.sinceHeartbeatNanos(receivedNanos)));
        }
    }
}
