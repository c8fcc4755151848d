package org.wigeongrade.bench;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.decisions.routing.LoadReport;
import org.wigeongrade.decisions.routing.PrefixIndex;
import org.wigeongrade.decisions.routing.RouteContext;
import org.wigeongrade.decisions.routing.RouteDecision;
import org.wigeongrade.decisions.routing.RouteRequest;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.decisions.routing.Router;
import org.wigeongrade.decisions.routing.RoutingPolicy;
import org.wigeongrade.decisions.routing.SlotTable;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.NodeName;

/**
 * Simulates entry VMs that route prompts to engines with prefix caches, in virtual time. Each entry VM sees its own
 * requests immediately, but receives the load and cache events of the engines late and with gaps. Not thread-safe.
 */
final class RoutingSimulation {
    private static final int ENTRY_VMS = 7;
    private static final int ENGINES = 50;
    private static final int CAPACITY = 8;
    private static final int CACHE_BLOCKS = 300;
    private static final long PREFILL_BLOCK_NANOS = TimeUnit.MILLISECONDS.toNanos(12);
    private static final long MIN_DECODE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long DECODE_RANGE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
    private static final long MEAN_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long CALLER_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final double LOST_EVENTS_RATIO = 0.02;
    /** Leases do not end in the simulation. */
    private static final LeaseTime NOW = new LeaseTime(0);

    private static final RouteTarget TARGET = RouteTarget.of(ModelVersionName.of("model-v1"));

    private final RoutingPolicy policy;
    private final double loadFactor;
    private final RandomGenerator random;
    private final RandomGenerator arrivalRandom;
    private final VirtualTime time = new VirtualTime();
    private final PromptSource prompts;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final List<EntryVm> entryVms = new ArrayList<>();
    private final Histogram firstTokenMicros = new Histogram(3);
    private long offered;
    private long completed;
    private long refusals;
    private long promptBlocks;
    private long matchedBlocks;
    private double highestLoadOverMean;

    /** One entry VM with its view of the prefix caches and its requests in flight. */
    private record EntryVm(NodeName name, Router router, PrefixIndex prefixes, Map<EndpointId, Integer> inFlight) {}

    RoutingSimulation(RoutingPolicy policy, double loadFactor, long seed) {
        this.policy = policy;
        this.loadFactor = loadFactor;
        this.random = new Random(seed);
        this.arrivalRandom = new Random(seed + 2);
        this.prompts = new PromptSource(new Random(seed + 1));
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new SimulatedEngine(i, CACHE_BLOCKS));
        }
        for (int i = 0; i < ENTRY_VMS; i++) {
            NodeName name = NodeName.of("entry-" + i);
            entryVms.add(new EntryVm(name, new Router(policy), new PrefixIndex(CACHE_BLOCKS), new HashMap<>()));
        }
    }

    RoutingResult run(int virtualSeconds) {
        engines.forEach(this::scheduleReport);
        scheduleArrival();
        time.runUntil(TimeUnit.SECONDS.toNanos(virtualSeconds));
        return new RoutingResult(
                policy.code(),
                loadFactor,
                offered,
                completed,
                refusals,
                rounded((double) matchedBlocks / Math.max(1, promptBlocks)),
                firstTokenMs(50),
                firstTokenMs(95),
                firstTokenMs(99),
                rounded(highestLoadOverMean));
    }

    private double firstTokenMs(double percentile) {
        return rounded(firstTokenMicros.getValueAtPercentile(percentile) / 1_000.0);
    }

    private static double rounded(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private void scheduleReport(SimulatedEngine engine) {
        time.after(REPORT_NANOS, () -> {
            int running = engine.inFlight();
            SimulatedEngine.CacheEvents events = engine.drainEvents();
            time.after(random.nextLong(REPORT_NANOS), () -> engine.setReportedInFlight(running));
            entryVms.forEach(entryVm -> deliverCacheEvents(entryVm, engine, events));
            recordImbalance();
            scheduleReport(engine);
        });
    }

    private void deliverCacheEvents(EntryVm entryVm, SimulatedEngine engine, SimulatedEngine.CacheEvents events) {
        if (random.nextDouble() < LOST_EVENTS_RATIO) {
            return;
        }
        time.after(
                random.nextLong(2 * REPORT_NANOS),
                () -> entryVm.prefixes().apply(engine.id, 1, events.firstSequence(), events.added(), events.removed()));
    }

    private void recordImbalance() {
        double mean =
                engines.stream().mapToInt(SimulatedEngine::inFlight).average().orElse(0);
        int highest = engines.stream().mapToInt(SimulatedEngine::inFlight).max().orElse(0);
        highestLoadOverMean = Math.max(highestLoadOverMean, (highest - mean) / CAPACITY);
    }

    private void scheduleArrival() {
        double arrivalsPerNano = loadFactor * ENGINES * CAPACITY / MEAN_RUN_NANOS;
        time.after((long) (-Math.log(1 - arrivalRandom.nextDouble()) / arrivalsPerNano), () -> {
            offered++;
            route(prompts.next(), time.nowNanos());
            scheduleArrival();
        });
    }

    private void route(List<String> prompt, long arrivedNanos) {
        if (time.nowNanos() - arrivedNanos > CALLER_DEADLINE_NANOS) {
            return;
        }
        EntryVm entryVm = entryVms.get(random.nextInt(entryVms.size()));
        RouteDecision decision = entryVm.router().choose(endpointViews(), routeContext(entryVm, prompt), random);
        if (decision instanceof RouteDecision.Chosen chosen) {
            send(entryVm, engine(chosen.endpoint().id()), prompt, arrivedNanos);
            return;
        }
        refusals++;
        time.after(RETRY_AFTER_NANOS, () -> route(prompt, arrivedNanos));
    }

    private void send(EntryVm entryVm, SimulatedEngine engine, List<String> prompt, long arrivedNanos) {
        entryVm.inFlight().merge(engine.id, 1, Integer::sum);
        int matched = engine.begin(prompt);
        promptBlocks += prompt.size();
        matchedBlocks += matched;
        long prefillNanos = (prompt.size() - matched) * PREFILL_BLOCK_NANOS * (1 + engine.inFlight()) / CAPACITY;
        long firstTokenNanos = time.nowNanos() - arrivedNanos + prefillNanos;
        firstTokenMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(firstTokenNanos));
        long decodeNanos = MIN_DECODE_NANOS + random.nextLong(DECODE_RANGE_NANOS);
        time.after(prefillNanos + decodeNanos, () -> {
            engine.end();
            entryVm.inFlight().merge(engine.id, -1, Integer::sum);
            completed++;
        });
    }

    private RouteContext routeContext(EntryVm entryVm, List<String> prompt) {
        RouteRequest request = new RouteRequest(
                TARGET, prompt, 0, ImmutableSet.of(), AvailabilityZone.of("az-0"), entryVm.name(), false);
        return new RouteContext(request, new IdealSlotTable(entryVm), entryVm.prefixes(), time.nowNanos(), NOW);
    }

    private SimulatedEngine engine(EndpointId id) {
        return engines.stream()
                .filter(engine -> engine.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    private List<EndpointView> endpointViews() {
        List<EndpointView> views = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            SimulatedEngine engine = engines.get(i);
            views.add(new EndpointView(
                    engine.id,
                    1,
                    TARGET,
                    AvailabilityZone.of("az-" + i % 3),
                    true,
                    false,
                    "10.0.0." + i + ":8000",
                    CAPACITY,
                    1,
                    false,
                    Optional.empty(),
                    NOW.plusNanos(1),
                    new LoadReport(engine.reportedInFlight(), 0, 0),
                    FencingToken.NONE));
        }
        return views;
    }

    /** Simulates an ideal division into shares: an entry VM gets a slot whenever the engine has a free one. */
    private final class IdealSlotTable implements SlotTable {
        private final EntryVm entryVm;

        IdealSlotTable(EntryVm entryVm) {
            this.entryVm = entryVm;
        }

        @Override
        public boolean hasFreeSlot(EndpointId endpoint, long nowNanos) {
            return engine(endpoint).inFlight() < CAPACITY;
        }

        @Override
        public int inFlight(EndpointId endpoint) {
            return entryVm.inFlight().getOrDefault(endpoint, 0);
        }

        @Override
        public boolean isReservedForSuspect(EndpointId endpoint) {
            return false;
        }
    }
}
