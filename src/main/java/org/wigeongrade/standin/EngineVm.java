package org.wigeongrade.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.FencingToken;

/**
 * State of one stand-in engine VM: the order it follows, its load and its cold start.
 *
 * <p>Invariants: at most the capacity runs, the rest waits by priority; requests are taken only while it is cold or warm
 * and first in its group. One lock, this object, guards everything; generations are never called under it. Safe for use
 * from any thread.
 */
final class EngineVm {
    private static final int EXIT_STATUS = 70;
    private static final int CACHE_EVENTS_EACH = 256;
    private static final Comparator<Generation> BY_PRIORITY =
            Comparator.comparingInt(Generation::priority).reversed();

    private final EngineSettings settings;
    private final ScheduledExecutorService timer;
    private final FaultSwitches faults;
    private final Journal journal;
    private final PrefixCache cache;
    private final LaggingLoad load;
    private final List<Generation> running = new ArrayList<>();
    private final PriorityQueue<Generation> waiting = new PriorityQueue<>(BY_PRIORITY);
    private final List<Generation> admitted = new ArrayList<>();

    private EngineState state = EngineState.IDLE;
    private long incarnation = System.currentTimeMillis();
    private boolean down;
    private String group;
    private List<String> members = List.of();
    private String modelVersion;
    private FencingToken token = FencingToken.NONE;
    private int coldAnswers;
    private long coldSinceNanos;
    private long loadNumber;
    private long sequence;
    private long cacheSequence;

    EngineVm(EngineSettings settings, ScheduledExecutorService timer, Journal journal) {
        this.settings = settings;
        this.timer = timer;
        this.journal = journal;
        this.faults = new FaultSwitches(settings.seed());
        this.cache = new PrefixCache(settings.cacheBlocks());
        this.load = new LaggingLoad(TimeUnit.MILLISECONDS.toNanos(settings.reportLagMs()));
    }

    ScheduledExecutorService timer() {
        return timer;
    }

    FaultSwitches faults() {
        return faults;
    }

    Journal journal() {
        return journal;
    }

    long tokenMs() {
        return settings.tokenMs();
    }

    /** Follows an order; returns false if its fencing token is old and this VM checks tokens. */
    synchronized boolean follow(EngineOrder order) {
        if (settings.fencingChecked() && order.token().compareTo(token) < 0) {
            note(JournalEvent.ORDER_REFUSED, order);
            return false;
        }
        note(JournalEvent.ORDER, order);
        token = order.token();
        if (order.isJoin()) {
            join(order);
        } else if (order.group() == null || order.group().equals(group)) {
            leave();
        }
        return true;
    }

    private void join(EngineOrder order) {
        boolean same = order.group().equals(group)
                && order.members().equals(members)
                && order.modelVersion().equals(modelVersion);
        if (same && state != EngineState.IDLE && state != EngineState.LEAVING) {
            return;
        }
        group = order.group();
        members = order.members();
        modelVersion = order.modelVersion();
        setState(EngineState.LOADING);
        cache.clear();
        loadNumber++;
        long number = loadNumber;
        ScheduledFuture<?> unused = timer.schedule(() -> loaded(number), settings.loadMs(), TimeUnit.MILLISECONDS);
    }

    private synchronized void loaded(long number) {
        if (state == EngineState.LOADING && number == loadNumber) {
            turnCold();
        }
    }

    private void leave() {
        setState(inFlight() == 0 ? EngineState.IDLE : EngineState.LEAVING);
        if (state == EngineState.IDLE) {
            forgetGroup();
        }
    }

    private void forgetGroup() {
        group = null;
        members = List.of();
        modelVersion = null;
    }

    private void turnCold() {
        coldAnswers = 0;
        coldSinceNanos = System.nanoTime();
        setState(EngineState.COLD);
    }

    /** Sets the fault switches. */
    synchronized void apply(Faults newFaults) {
        faults.set(newFaults);
        if (newFaults.turnCold() && state == EngineState.WARM) {
            turnCold();
        }
    }

    /** Decides about a new request. */
    synchronized Admission admit(String attempt, Prompt prompt, int priority) {
        if (down) {
            return new Admission.Down();
        }
        Optional<Admission.Refused> refusal = refusal(prompt);
        if (refusal.isPresent()) {
            note(JournalEvent.REFUSED, attempt, prompt, refusal.get().reason());
            return refusal.get();
        }
        boolean cold = state == EngineState.COLD;
        int cutAt = faults.cutsShort() ? Math.max(1, prompt.maxTokens() / 2) : -1;
        Generation generation = new Generation(this, attempt, prompt, priority, cold, cutAt);
        admitted.add(generation);
        note(JournalEvent.STARTED, attempt, prompt, null);
        if (cold && inFlight() > settings.coldCapacity() && pastGrace()) {
            note(JournalEvent.FELL_OVER, attempt, prompt, null);
            fail();
            return new Admission.Down();
        }
        return new Admission.Taken(generation);
    }

    private boolean pastGrace() {
        return System.nanoTime() - coldSinceNanos >= TimeUnit.MILLISECONDS.toNanos(settings.coldGraceMs());
    }

    private Optional<Admission.Refused> refusal(Prompt prompt) {
        if (!state.takesRequests()) {
            return Optional.of(new Admission.Refused(503, "not_serving"));
        }
        if (members.isEmpty() || !members.get(0).equals(settings.vm())) {
            return Optional.of(new Admission.Refused(503, "not_first_member"));
        }
        if (faults.refuses()) {
            return Optional.of(new Admission.Refused(503, "fault_switch"));
        }
        if (!prompt.canContinue()) {
            return Optional.of(new Admission.Refused(503, "unknown_prefix"));
        }
        if (state == EngineState.WARM && inFlight() >= 2 * settings.capacity()) {
            return Optional.of(new Admission.Refused(429, "queue_full"));
        }
        return Optional.empty();
    }

    /** Starts a request that was taken, or lets it wait for a free slot. */
    synchronized void enqueue(Generation generation) {
        if (!admitted.remove(generation)) {
            return;
        }
        waiting.add(generation);
        startWaiting();
    }

    private void startWaiting() {
        while (running.size() < settings.capacity() && !waiting.isEmpty()) {
            Generation next = waiting.remove();
            running.add(next);
            int missing = cache.use(next.prompt());
            next.run(settings.prefillMs() * (missing + 1) + faults.current().delayMs());
        }
        load.record(System.nanoTime(), running.size(), waiting.size());
    }

    /** Takes the end of a request. */
    synchronized void finished(Generation generation, JournalEvent outcome) {
        note(outcome, generation.attempt(), generation.prompt(), null);
        admitted.remove(generation);
        waiting.remove(generation);
        running.remove(generation);
        if (outcome == JournalEvent.COMPLETED && state == EngineState.COLD) {
            coldAnswers++;
            if (coldAnswers >= settings.coldRequests()) {
                setState(EngineState.WARM);
            }
        }
        if (state == EngineState.LEAVING && inFlight() == 0) {
            setState(EngineState.IDLE);
            forgetGroup();
        }
        startWaiting();
    }

    private int inFlight() {
        return admitted.size() + waiting.size() + running.size();
    }

    /** Returns whether a request with this prompt crashes the VM. */
    boolean crashesOn(Prompt prompt) {
        return prompt.text().contains("crash-engine");
    }

    /** Lets the VM fail because of a request. */
    synchronized void crash(Generation generation) {
        note(JournalEvent.CRASHED, generation.attempt(), generation.prompt(), null);
        fail();
    }

    private void fail() {
        if (settings.downMs() == 0) {
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
        down = true;
        List<Generation> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        lost.addAll(admitted);
        running.clear();
        waiting.clear();
        admitted.clear();
        state = EngineState.IDLE;
        forgetGroup();
        timer.execute(() -> lost.forEach(generation -> generation.end(JournalEvent.CUT_SHORT)));
        ScheduledFuture<?> unused = timer.schedule(this::comeBack, settings.downMs(), TimeUnit.MILLISECONDS);
    }

    private synchronized void comeBack() {
        incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
        token = FencingToken.NONE;
        sequence = 0;
        cache.clear();
        down = false;
        setState(EngineState.IDLE);
    }

    /** Returns the next announcement; empty while the VM is silent. */
    synchronized Optional<Announcement> announcement() {
        if (down || faults.current().stopAnnouncing()) {
            return Optional.empty();
        }
        LaggingLoad.Sample report = load.report(System.nanoTime());
        List<PrefixCache.Event> events = cache.takeEvents(CACHE_EVENTS_EACH);
        Long first = events.isEmpty() ? null : cacheSequence + 1;
        cacheSequence += events.size();
        sequence++;
        return Optional.of(new Announcement(
                settings.vm(),
                incarnation,
                settings.address(),
                settings.zone(),
                settings.domain(),
                settings.accelerators(),
                "engine",
                null,
                group,
                token.term(),
                token.sequence(),
                modelVersion,
                state.code(),
                report.running(),
                report.waiting(),
                sequence,
                first,
                digests(events, true),
                digests(events, false)));
    }

    private static List<String> digests(List<PrefixCache.Event> events, boolean added) {
        return events.stream()
                .filter(event -> event.added() == added)
                .map(PrefixCache.Event::digest)
                .toList();
    }

    private void setState(EngineState newState) {
        state = newState;
        journal.add(entry(JournalEvent.STATE, null, null, null, null));
    }

    private void note(JournalEvent event, EngineOrder order) {
        String detail = order.order() + " " + order.group();
        journal.add(entry(event, null, null, order.token(), detail, order.members()));
    }

    private void note(JournalEvent event, String attempt, Prompt prompt, String detail) {
        journal.add(entry(event, attempt, prompt, null, detail));
    }

    private JournalEntry entry(JournalEvent event, String attempt, Prompt prompt, FencingToken order, String detail) {
        return entry(event, attempt, prompt, order, detail, members);
    }

    private JournalEntry entry(
            JournalEvent event,
            String attempt,
            Prompt prompt,
            FencingToken order,
            String detail,
            List<String> shownMembers) {
        FencingToken shown = order == null ? token : order;
        return new JournalEntry(
                System.nanoTime(),
                settings.vm(),
                incarnation,
                event,
                attempt,
                prompt == null ? null : prompt.digest(),
                prompt == null ? null : prompt.user(),
                null,
                group,
                shownMembers,
                modelVersion,
                state.code(),
                shown.term(),
                shown.sequence(),
                inFlight(),
                detail);
    }
}
