package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.PromptPartId;

/**
 * An entry VM's view of the suspect requests (requests that may crash endpoints).
 *
 * <p>Invariants: a digest in flight at an endpoint when the endpoint is lost becomes a suspect here at once, before the
 * leader learns of it. This VM runs at most one request with a suspect digest at a time, and starts it only while the
 * leader grants it the trial of that digest. An endpoint that runs a suspect gets no other request from this VM. Losses
 * and completions are reported until they are acknowledged. All times are on this VM's monotonic clock, in nanoseconds.
 *
 * <p>Thread safety: every method locks this object and acquires no other lock while holding it.
 */
public final class SuspectTable {
    /** Losses that wait for a leader; several times what an entry VM has in flight. */
    private static final int MAX_LOSSES = 1_024;

    private final NodeName self;
    private final long exchangeIntervalMs;
    private final Map<EndpointIncarnation, Multiset<String>> inFlight = new HashMap<>();
    private final Map<String, ImmutableSet<PromptPartId>> partsInFlight = new HashMap<>();
    private final QuarantinedParts quarantinedParts = new QuarantinedParts();
    private final Map<String, EndpointId> trials = new HashMap<>();
    private final Map<String, Long> trialDeadlinesNanos = new HashMap<>();
    private final Map<String, Long> wantedUntilNanos = new HashMap<>();
    /** In the order in which they occurred. */
    private final Set<ReportedLoss> losses = new LinkedHashSet<>();

    private final Set<CrashReport.Completion> completions = new HashSet<>();
    private Set<String> fleetSuspects = ImmutableSet.of();
    private Set<String> quarantined = ImmutableSet.of();
    private long sequence;
    private int droppedLosses;

    /** @param exchangeIntervalMs time between two exchanges with the leader, in milliseconds */
    public SuspectTable(NodeName self, long exchangeIntervalMs) {
        this.self = self;
        this.exchangeIntervalMs = exchangeIntervalMs;
    }

    /**
     * Returns whether the request may be sent. Checking a suspect also requests its trial in the next exchanges with
     * the leader.
     *
     * @param promptParts parts of the request's prompt that other requests may share
     */
    public synchronized SuspectDecision check(String requestDigest, Set<PromptPartId> promptParts, long nowNanos) {
        if (quarantined.contains(requestDigest)) {
            return new SuspectDecision.Quarantined();
        }
        final Optional<PromptPartId> quarantinedPart = quarantinedParts.findQuarantined(promptParts);
        if (quarantinedPart.isPresent() && !quarantinedParts.tryStartTrial(promptParts)) {
            quarantinedParts.recordRefused(quarantinedPart.get());
            return new SuspectDecision.PartQuarantined(quarantinedPart.get());
        }
        if (!isSuspect(requestDigest)) {
            return new SuspectDecision.Clear();
        }
        wantedUntilNanos.put(requestDigest, nowNanos + TimeUnit.MILLISECONDS.toNanos(4 * exchangeIntervalMs));
        boolean holdsTrial = nowNanos - trialDeadlinesNanos.getOrDefault(requestDigest, nowNanos) < 0;
        if (holdsTrial && !trials.containsKey(requestDigest) && !isInFlight(requestDigest)) {
            return new SuspectDecision.RunAlone();
        }
        return new SuspectDecision.RetryLater(2 * exchangeIntervalMs);
    }

    /** Counts a request that is about to be sent. */
    public synchronized void begin(
            String requestDigest, Set<PromptPartId> promptParts, EndpointIncarnation incarnation) {
        partsInFlight.put(requestDigest, ImmutableSet.copyOf(promptParts));
        inFlight.computeIfAbsent(incarnation, key -> HashMultiset.create()).add(requestDigest);
        if (isSuspect(requestDigest)) {
            trials.put(requestDigest, incarnation.endpoint());
        }
    }

    /** Counts the end of a request whose endpoint was not lost; {@code event} tells how it ended. */
    public synchronized void end(
            String requestDigest, EndpointIncarnation incarnation, AttemptEvent event, long nowNanos) {
        if (event == AttemptEvent.ANSWERED) {
            quarantinedParts.recordCompleted(partsOf(requestDigest), nowNanos);
        }
        boolean wasReported = isSuspect(requestDigest) || losses.stream().anyMatch(loss -> isOf(requestDigest, loss));
        removeInFlight(requestDigest, incarnation);
        if (wasReported && event == AttemptEvent.ANSWERED) {
            losses.removeIf(loss -> isOf(requestDigest, loss));
            completions.add(new CrashReport.Completion(requestDigest, incarnation));
            sequence++;
        }
    }

    /** Marks each request in flight at a lost endpoint as a suspect. */
    public synchronized void endpointLost(EndpointIncarnation incarnation, long nowNanos) {
        Multiset<String> digests = inFlight.remove(incarnation);
        if (digests == null) {
            return;
        }
        for (String digest : digests.elementSet()) {
            addLoss(new ReportedLoss(incarnation, digest, partsOf(digest), nowNanos, false));
            completions.removeIf(completion -> completion.requestDigest().equals(digest));
            trials.remove(digest);
            trialDeadlinesNanos.remove(digest);
        }
        forgetPartsOf(digests.elementSet());
        sequence++;
    }

    /**
     * Reports one request whose connection failed in a way that a crash of the endpoint would explain. Marks it as a
     * suspect, unless this VM's own links may be the cause; then the leader decides.
     */
    public synchronized void connectionLost(
            String requestDigest, EndpointIncarnation incarnation, boolean linksDoubted, long nowNanos) {
        addLoss(new ReportedLoss(incarnation, requestDigest, partsOf(requestDigest), nowNanos, linksDoubted));
        removeInFlight(requestDigest, incarnation);
        trialDeadlinesNanos.remove(requestDigest);
        sequence++;
    }

    /** Returns the losses and completions that the leader has not acknowledged yet. */
    public synchronized CrashReport report() {
        return new CrashReport(sequence, losses, completions);
    }

    /** Returns the suspects that this VM wants to run or is running. */
    public synchronized ImmutableSet<String> wantedTrials(long nowNanos) {
        wantedUntilNanos.values().removeIf(deadlineNanos -> nowNanos - deadlineNanos > 0);
        return ImmutableSet.<String>builder()
                .addAll(wantedUntilNanos.keySet())
                .addAll(trials.keySet())
                .build();
    }

    /** Returns the complete responses to requests with the prompt parts that the leader asked about. */
    public synchronized ImmutableMap<PromptPartId, PartCompletions> partCompletions(long nowNanos) {
        return quarantinedParts.completionsInQuestion(nowNanos);
    }

    /** Returns and forgets the quarantined parts because of which requests were refused since the last call. */
    public synchronized ImmutableSet<PromptPartId> drainRefusedParts() {
        return quarantinedParts.drainRefused();
    }

    /** Returns the quarantined prompt parts, for a new leader. */
    public synchronized ImmutableList<PartQuarantine> quarantinedParts() {
        return quarantinedParts.all();
    }

    /** Applies what the leader decided on prompt parts. */
    public synchronized void applyParts(List<PartQuarantine> parts, Set<PromptPartId> partsInQuestion) {
        quarantinedParts.apply(parts, partsInQuestion);
    }

    /** Applies the leader's reply to a report sent at {@code reportSentNanos}. */
    public synchronized void apply(SuspectList list, long reportSentNanos) {
        if (list.acknowledgedSequence() >= sequence) {
            losses.clear();
            completions.clear();
        }
        fleetSuspects =
                list.suspects().stream().map(SuspectList.Suspect::requestDigest).collect(ImmutableSet.toImmutableSet());
        quarantined = list.quarantined();
        trialDeadlinesNanos.clear();
        for (SuspectList.Suspect suspect : list.suspects()) {
            if (suspect.trialHolder().equals(Optional.of(self))) {
                trialDeadlinesNanos.put(suspect.requestDigest(), reportSentNanos + suspect.trialNanos());
            }
        }
    }

    /** Returns whether this VM is running a suspect at the endpoint, which must run there on its own. */
    public synchronized boolean isReservedForSuspect(EndpointId endpoint) {
        return trials.containsValue(endpoint);
    }

    private void removeInFlight(String requestDigest, EndpointIncarnation incarnation) {
        trials.remove(requestDigest, incarnation.endpoint());
        Multiset<String> digests = inFlight.get(incarnation);
        if (digests == null) {
            return;
        }
        digests.remove(requestDigest);
        if (digests.isEmpty()) {
            inFlight.remove(incarnation);
        }
        forgetPartsOf(ImmutableSet.of(requestDigest));
    }

    private void forgetPartsOf(Set<String> requestDigests) {
        requestDigests.stream().filter(digest -> !isInFlight(digest)).forEach(partsInFlight::remove);
    }

    private ImmutableSet<PromptPartId> partsOf(String requestDigest) {
        return partsInFlight.getOrDefault(requestDigest, ImmutableSet.of());
    }

    private boolean isInFlight(String requestDigest) {
        return inFlight.values().stream().anyMatch(digests -> digests.contains(requestDigest));
    }

    private boolean isSuspect(String requestDigest) {
        return fleetSuspects.contains(requestDigest)
                || losses.stream().anyMatch(loss -> isOf(requestDigest, loss) && !loss.linksDoubted());
    }

    private static boolean isOf(String requestDigest, ReportedLoss loss) {
        return loss.requestDigest().equals(requestDigest);
    }

    private void addLoss(ReportedLoss loss) {
        losses.add(loss);
        if (losses.size() > MAX_LOSSES) {
            final Iterator<ReportedLoss> oldest = losses.iterator();
            final ReportedLoss unused = oldest.next();
            oldest.remove();
            droppedLosses++;
        }
    }

    /** Returns how many losses were given up since the last call, as too many waited for a leader. */
    public synchronized int drainDroppedLosses() {
        final int dropped = droppedLosses;
        droppedLosses = 0;
        return dropped;
    }
}
