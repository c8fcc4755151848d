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
 * Entry VMs that route prompts to engines with prefix caches, in virtual time. Each entry VM sees its own requests at
 * once, and the engines' load and cache events late and with gaps. Not thread-safe.
 */
final class RoutingSimulation {
    private static final int ENTRY_VMS = 7;
    private static final int ENGINES = 50;
    private static final int CAPACITY = 8;
    private static final int CACHE_BLOCKS = 300;
    private static final long PREFILL_BLOCK_NANOS = TimeUnit.MILLISECONDS.toNanos(12);
    private static final long LEAST_DECODE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MORE_DECODE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
    private static final long MEAN_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long COME_BACK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long CALLER_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final double LOST_EVENTS_PART = 0.02;
    private static final RouteTarget TARGET = RouteTarget.of(ModelVersionName.of("model-v1"));

    private final RoutingPolicy policy;
    private final double loadFactor;
    private final RandomGenerator random;
    private final RandomGenerator arrivals;
    private final VirtualTime time = new VirtualTime();
    private final PromptSource prompts;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Histogram firstTokenMicros = new Histogram(3);
    private long offered;
    private long completed;
    private long refusals;
    private long blocks;
    private long matchedBlocks;
    private double highestLoadOverMean;

    /** One entry VM: what it knows and what it has in flight. */
    private record Entry(NodeName name, Router router, PrefixIndex prefixes, Map<EndpointId, Integer> inFlight) {}

    RoutingSimulation(RoutingPolicy policy, double loadFactor, long seed) {
        this.policy = policy;
        this.loadFactor = loadFactor;
        this.random = new Random(seed);
        this.arrivals = new Random(seed + 2);
        this.prompts = new PromptSource(new Random(seed + 1));
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new SimulatedEngine(i, CACHE_BLOCKS));
        }
        for (int i = 0; i < ENTRY_VMS; i++) {
            NodeName name = NodeName.of("entry-" + i);
            entries.add(new Entry(name, new Router(policy), new PrefixIndex(CACHE_BLOCKS), new HashMap<>()));
        }
    }

    RoutingResult run(int virtualSeconds) {
        engines.forEach(this::reportLater);
        arriveLater();
        time.runUntil(TimeUnit.SECONDS.toNanos(virtualSeconds));
        return new RoutingResult(
                policy.code(),
                loadFactor,
                offered,
                completed,
                refusals,
                rounded((double) matchedBlocks / Math.max(1, blocks)),
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

    private void reportLater(SimulatedEngine engine) {
        time.after(REPORT_NANOS, () -> {
            int running = engine.inFlight();
            SimulatedEngine.Events events = engine.takeEvents();
            time.after(random.nextLong(REPORT_NANOS), () -> engine.reported(running));
            entries.forEach(entry -> publish(entry, engine, events));
            trackBalance();
            reportLater(engine);
        });
    }

    private void publish(Entry entry, SimulatedEngine engine, SimulatedEngine.Events events) {
        if (random.nextDouble() < LOST_EVENTS_PART) {
            return;
        }
        time.after(
                random.nextLong(2 * REPORT_NANOS),
                () -> entry.prefixes().apply(engine.id, 1, events.firstSequence(), events.added(), events.removed()));
    }

    private void trackBalance() {
        double mean =
                engines.stream().mapToInt(SimulatedEngine::inFlight).average().orElse(0);
        int highest = engines.stream().mapToInt(SimulatedEngine::inFlight).max().orElse(0);
        highestLoadOverMean = Math.max(highestLoadOverMean, (highest - mean) / CAPACITY);
    }

    private void arriveLater() {
        double perNano = loadFactor * ENGINES * CAPACITY / MEAN_RUN_NANOS;
        time.after((long) (-Math.log(1 - arrivals.nextDouble()) / perNano), () -> {
            offered++;
            tryRoute(prompts.next(), time.nowNanos());
            arriveLater();
        });
    }

    private void tryRoute(List<String> prompt, long arrivedNanos) {
        if (time.nowNanos() - arrivedNanos > CALLER_DEADLINE_NANOS) {
            return;
        }
        Entry entry = entries.get(random.nextInt(entries.size()));
        RouteDecision decision = entry.router().choose(views(), context(entry, prompt), random);
        if (decision instanceof RouteDecision.Chosen chosen) {
            send(entry, engine(chosen.endpoint().id()), prompt, arrivedNanos);
            return;
        }
        refusals++;
        time.after(COME_BACK_NANOS, () -> tryRoute(prompt, arrivedNanos));
    }

    private void send(Entry entry, SimulatedEngine engine, List<String> prompt, long arrivedNanos) {
        entry.inFlight().merge(engine.id, 1, Integer::sum);
        int matched = engine.begin(prompt);
        blocks += prompt.size();
        matchedBlocks += matched;
        long prefillNanos = (prompt.size() - matched) * PREFILL_BLOCK_NANOS * (1 + engine.inFlight()) / CAPACITY;
        long firstTokenNanos = time.nowNanos() - arrivedNanos + prefillNanos;
        firstTokenMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(firstTokenNanos));
        long decodeNanos = LEAST_DECODE_NANOS + random.nextLong(MORE_DECODE_NANOS);
        time.after(prefillNanos + decodeNanos, () -> {
            engine.end();
            entry.inFlight().merge(engine.id, -1, Integer::sum);
            completed++;
        });
    }

    private RouteContext context(Entry entry, List<String> prompt) {
        RouteRequest request = new RouteRequest(
                TARGET, prompt, 0, ImmutableSet.of(), AvailabilityZone.of("az-0"), entry.name(), false);
        return new RouteContext(request, new FleetSlots(entry), entry.prefixes(), time.nowNanos());
    }

    private SimulatedEngine engine(EndpointId id) {
        return engines.stream()
                .filter(engine -> engine.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    private List<EndpointView> views() {
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
                    Long.MAX_VALUE,
                    new LoadReport(engine.reportedInFlight(), 0, 0),
                    FencingToken.NONE));
        }
        return views;
    }

    /** Slots as ideal shares would give them: a slot is free while the engine has one. */
    private final class FleetSlots implements SlotTable {
        private final Entry entry;

        FleetSlots(Entry entry) {
            this.entry = entry;
        }

        @Override
        public boolean hasFreeSlot(EndpointId endpoint, long nowNanos) {
            return engine(endpoint).inFlight() < CAPACITY;
        }

        @Override
        public int inFlight(EndpointId endpoint) {
            return entry.inFlight().getOrDefault(endpoint, 0);
        }

        @Override
        public boolean isReservedForSuspect(EndpointId endpoint) {
            return false;
        }
    }
}
