package org.wigeongrade.operators;

import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.nodes.entry.EntryRole;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Serves the health check and the metrics of this entry VM. Thread safe: holds no state of its own. */
public final class HealthApi implements Action<Chain> {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final EntryRole entry;
    private final Metrics metrics;

    public HealthApi(EntryRole entry, Metrics metrics) {
        this.entry = entry;
        this.metrics = metrics;
    }

    @Override
    public void execute(Chain chain) {
        chain.get("health", this::health);
        chain.get("metrics", context -> context.getResponse().send(Metrics.CONTENT_TYPE, metrics.render()));
    }

    private void health(Context context) {
        context.getResponse().status(entry.isHealthy() ? OK : SERVICE_UNAVAILABLE);
        context.getResponse().send("text/plain", healthText());
    }

    private String healthText() {
        if (entry.isStopping()) {
            return "stopping\n";
        }
        return entry.isHealthy() ? "serving\n" : "no valid view lease\n";
    }
}
