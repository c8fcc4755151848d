package org.wigeongrade.callers;

import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;
import org.wigeongrade.endpoints.EndpointClient;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.nodes.ColdSigns;
import org.wigeongrade.nodes.ControlLink;
import org.wigeongrade.nodes.entry.EntryRole;
import org.wigeongrade.settings.NodeLimits;

/** The collaborators that serving callers depends on. Every component is safe for use from any thread. */
public record CallerServices(
        EntryRole entry,
        ControlLink control,
        EndpointClient client,
        ColdSigns coldSigns,
        Runnable requestViewPull,
        Delay scheduler,
        ExecutorService workers,
        LongSupplier epochMsClock,
        Metrics metrics,
        EventLog events,
        NodeLimits limits) {}
