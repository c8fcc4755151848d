package org.wigeongrade.callers;

import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;
import org.wigeongrade.endpoints.EndpointClient;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.nodes.ColdSignBroadcaster;
import org.wigeongrade.nodes.LeaderClient;
import org.wigeongrade.nodes.entry.EntryRole;
import org.wigeongrade.settings.NodeLimits;

/** The collaborators that serving callers depends on. Every component is safe for use from any thread. */
public record CallerDependencies(
        EntryRole entry,
        LeaderClient control,
        EndpointClient client,
        ColdSignBroadcaster coldSigns,
        Runnable requestViewPull,
        TaskScheduler scheduler,
        ExecutorService workers,
        LongSupplier epochMsClock,
        Metrics metrics,
        EventLog events,
        NodeLimits limits) {}
