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
 * State of one stand-in engine VM: its group as ordered by the control leader, its load and its cold start.
 *
 * <p>Invariants: at most {@code capacity} requests run and the others wait in order of priority; requests are admitted
 * only while the VM is cold or warm and the first member of its group. All state is guarded by the lock of this object;
 * while it is held, no synchronized method and no listener of a generation is called. Safe for use from any thread.
 */
final class EngineVm {
    private static final int EXIT_STATUS = 70;
    private static final int MAX_CACHE_EVENTS_PER_ANNOUNCEMENT = 256;
    private static final Comparator<Generation> BY_PRIORITY =
            Comparator.comparingInt(Generation::priority).reversed();

    private final EngineSettings settings;
    private final ScheduledExecutorService timer;
    private final FaultInjector faults;
    private final Journal journal;
    private final PrefixCache cache;
    private final LaggingLoadReport loadReport;
    private final List<Generation> running = new ArrayList<>();
    private final PriorityQueue<Generation> waiting = new PriorityQueue<>(BY_PRIORITY);
    private final List<Generation> admitted = new ArrayList<>();

    private EngineState state = EngineState.IDLE;
    private long incarnation = System.currentTimeMillis();
    private boolean down;
    private String group;
    private List<String> members = List.of();
    private String modelVersion;
    private FencingToken fencingToken = FencingToken.NONE;
    private int coldCompletions;
    private long coldSinceNanos;
    private long modelLoadNumber;
    private long sequence;
    private long cacheSequence;

    EngineVm(EngineSettings settings, ScheduledExecutorService timer, Journal journal) {
        this.settings = settings;
        this.timer = timer;
        this.journal = journal;
        this.faults = new FaultInjector(settings.seed());
        this.cache = new PrefixCache(settings.cacheBlocks());
        this.loadReport = new LaggingLoadReport(TimeUnit.MILLISECONDS.toNanos(settings.reportLagMs()));
    }

    ScheduledExecutorService timer() {
        return timer;
    }

    FaultInjector faults() {
        return faults;
    }

    Journal journal() {
        return journal;
    }

    long tokenMs() {
        return settings.tokenMs();
    }

    /** Executes an order; returns false if its fencing token is stale and this VM checks fencing tokens. */
    synchronized boolean handleOrder(EngineOrder order) {
        if (settings.fencingChecked() && order.fencingToken().compareTo(fencingToken) < 0) {
            addJournalEntry(JournalEvent.ORDER_REFUSED, order);
            return false;
        }
        addJournalEntry(JournalEvent.ORDER, order);
        fencingToken = order.fencingToken();
        if (order.isJoin()) {
            join(order);
        } else if (order.group() == null || order.group().equals(group)) {
            leave();
        }
        return true;
    }

    private void join(EngineOrder order) {
        boolean unchanged = order.group().equals(group)
                && order.members().equals(members)
                && order.modelVersion().equals(modelVersion);
        if (unchanged && state != EngineState.IDLE && state != EngineState.LEAVING) {
            return;
        }
        group = order.group();
        members = order.members();
        modelVersion = order.modelVersion();
        setState(EngineState.LOADING);
        cache.clear();
        modelLoadNumber++;
        long number = modelLoadNumber;
        ScheduledFuture<?> unused =
                timer.schedule(() -> onModelLoaded(number), settings.loadMs(), TimeUnit.MILLISECONDS);
    }

    private synchronized void onModelLoaded(long number) {
        if (state == EngineState.LOADING && number == modelLoadNumber) {
            turnCold();
        }
    }

    private void leave() {
        setState(inFlight() == 0 ? EngineState.IDLE : EngineState.LEAVING);
        if (state == EngineState.IDLE) {
            clearGroup();
        }
    }

    private void clearGroup() {
        group = null;
        members = List.of();
        modelVersion = null;
    }

    private void turnCold() {
        coldCompletions = 0;
        coldSinceNanos = System.nanoTime();
        setState(EngineState.COLD);
    }

    /** Sets the faults to inject. */
    synchronized void apply(Faults newFaults) {
        faults.set(newFaults);
        if (newFaults.turnCold() && state == EngineState.WARM) {
            turnCold();
        }
    }

    /** Decides whether to admit a new request. */
    synchronized Admission admit(String attemptId, Prompt prompt, int priority) {
        if (down) {
            return new Admission.Down();
        }
        Optional<Admission.Refused> refusal = refusal(prompt);
        if (refusal.isPresent()) {
            addJournalEntry(
                    JournalEvent.REFUSED, attemptId, prompt, refusal.get().reason());
            return refusal.get();
        }
        boolean cold = state == EngineState.COLD;
        int cutAtToken = faults.cutsResponseShort() ? Math.max(1, prompt.maxTokens() / 2) : -1;
        Generation generation = new Generation(this, attemptId, prompt, priority, cold, cutAtToken);
        admitted.add(generation);
        addJournalEntry(JournalEvent.STARTED, attemptId, prompt, null);
        if (cold && inFlight() > settings.coldCapacity() && isGracePeriodOver()) {
            addJournalEntry(JournalEvent.FELL_OVER, attemptId, prompt, null);
            fail();
            return new Admission.Down();
        }
        return new Admission.Admitted(generation);
    }

    private boolean isGracePeriodOver() {
        return System.nanoTime() - coldSinceNanos >= TimeUnit.MILLISECONDS.toNanos(settings.coldGraceMs());
    }

    private Optional<Admission.Refused> refusal(Prompt prompt) {
        if (!state.takesRequests()) {
            return Optional.of(new Admission.Refused(503, "not_serving"));
        }
        if (members.isEmpty() || !members.get(0).equals(settings.vm())) {
            return Optional.of(new Admission.Refused(503, "not_first_member"));
        }
        if (faults.refusesRequest()) {
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

    /** Starts an admitted request, or queues it until a slot is free. */
    synchronized void enqueue(Generation generation) {
        if (!admitted.remove(generation)) {
            return;
        }
        waiting.add(generation);
        startWaitingRequests();
    }

    private void startWaitingRequests() {
        while (running.size() < settings.capacity() && !waiting.isEmpty()) {
            Generation next = waiting.remove();
            running.add(next);
            int uncachedBlocks = cache.insert(next.prompt());
            next.scheduleFirstToken(settings.prefillMs() * (uncachedBlocks + 1)
                    + faults.current().delayMs());
        }
        loadReport.record(System.nanoTime(), running.size(), waiting.size());
    }

    /** Records the end of a request and starts waiting requests in the free slots. */
    synchronized void onGenerationEnded(Generation generation, JournalEvent outcome) {
        addJournalEntry(outcome, generation.attemptId(), generation.prompt(), null);
        admitted.remove(generation);
        waiting.remove(generation);
        running.remove(generation);
        if (outcome == JournalEvent.COMPLETED && state == EngineState.COLD) {
            coldCompletions++;
            if (coldCompletions >= settings.coldRequests()) {
                setState(EngineState.WARM);
            }
        }
        if (state == EngineState.LEAVING && inFlight() == 0) {
            setState(EngineState.IDLE);
            clearGroup();
        }
        startWaitingRequests();
    }

    private int inFlight() {
        return admitted.size() + waiting.size() + running.size();
    }

    /** Returns whether a request with this prompt crashes the VM. */
    boolean crashesOn(Prompt prompt) {
        return prompt.text().contains("crash-engine");
    }

    /** Makes the VM fail because of {@code generation}'s request. */
    synchronized void crashOn(Generation generation) {
        addJournalEntry(JournalEvent.CRASHED, generation.attemptId(), generation.prompt(), null);
        fail();
    }

    private void fail() {
        if (settings.downMs() == 0) {
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
        down = true;
        List<Generation> lostGenerations = new ArrayList<>(running);
        lostGenerations.addAll(waiting);
        lostGenerations.addAll(admitted);
        running.clear();
        waiting.clear();
        admitted.clear();
        state = EngineState.IDLE;
        clearGroup();
        timer.execute(() -> lostGenerations.forEach(generation -> generation.end(JournalEvent.CUT_SHORT)));
        ScheduledFuture<?> unused = timer.schedule(this::restart, settings.downMs(), TimeUnit.MILLISECONDS);
    }

    private synchronized void restart() {
        incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
        fencingToken = FencingToken.NONE;
        sequence = 0;
        cache.clear();
        down = false;
        setState(EngineState.IDLE);
    }

    /** Returns the next announcement; empty while the VM is down or a fault stops its announcements. */
    synchronized Optional<Announcement> announcement() {
        if (down || faults.current().stopAnnouncing()) {
            return Optional.empty();
        }
        LaggingLoadReport.Sample sample = loadReport.reportedAt(System.nanoTime());
        List<PrefixCache.Event> events = cache.pollEvents(MAX_CACHE_EVENTS_PER_ANNOUNCEMENT);
        Long firstCacheSequence = events.isEmpty() ? null : cacheSequence + 1;
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
                fencingToken.term(),
                fencingToken.sequence(),
                modelVersion,
                state.code(),
                sample.running(),
                sample.waiting(),
                sequence,
                firstCacheSequence,
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
        journal.add(newJournalEntry(JournalEvent.STATE, null, null, null, null));
    }

    private void addJournalEntry(JournalEvent event, EngineOrder order) {
        String detail = order.order() + " " + order.group();
        journal.add(newJournalEntry(event, null, null, order.fencingToken(), detail, order.members()));
    }

    private void addJournalEntry(JournalEvent event, String attemptId, Prompt prompt, String detail) {
        journal.add(newJournalEntry(event, attemptId, prompt, null, detail));
    }

    private JournalEntry newJournalEntry(
            JournalEvent event, String attemptId, Prompt prompt, FencingToken orderToken, String detail) {
        return newJournalEntry(event, attemptId, prompt, orderToken, detail, members);
    }

    private JournalEntry newJournalEntry(
            JournalEvent event,
            String attemptId,
            Prompt prompt,
            FencingToken orderToken,
            String detail,
            List<String> journalMembers) {
        FencingToken journalToken = orderToken == null ? fencingToken : orderToken;
        return new JournalEntry(
                System.nanoTime(),
                settings.vm(),
                incarnation,
                event,
                attemptId,
                prompt == null ? null : prompt.digest(),
                prompt == null ? null : prompt.user(),
                null,
                group,
                journalMembers,
                modelVersion,
                state.code(),
                journalToken.term(),
                journalToken.sequence(),
                inFlight(),
                detail);
    }
}
