package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;

/**
 * An entry VM's view of the requests that may crash endpoints.
 *
 * <p>Invariants: a digest in flight at an endpoint when it was lost is a suspect here at once, before the leader hears of
 * it; this VM runs one request of a suspect digest at a time, and only while the leader's trial is its own; an endpoint
 * that runs a suspect gets nothing else from this VM. Losses and completions are reported until they are acknowledged.
 * All times are on this VM's monotonic clock, in nanoseconds.
 *
 * <p>Thread safety: all methods lock the table, which is a leaf: nothing else is locked inside.
 */
public final class SuspectTable {
    private final NodeName self;
    private final long exchangeMs;
    private final Map<EndpointLife, Multiset<String>> inFlight = new HashMap<>();
    private final Map<String, EndpointId> trials = new HashMap<>();
    private final Map<String, Long> trialDeadlinesNanos = new HashMap<>();
    private final Map<String, Long> wantedUntilNanos = new HashMap<>();
    private final Set<CrashReport.Loss> losses = new HashSet<>();
    private final Set<CrashReport.Completion> completions = new HashSet<>();
    private Set<String> fleetSuspects = ImmutableSet.of();
    private Set<String> quarantined = ImmutableSet.of();
    private long sequence;

    /** @param exchangeMs time between two exchanges with the leader, in milliseconds */
    public SuspectTable(NodeName self, long exchangeMs) {
        this.self = self;
        this.exchangeMs = exchangeMs;
    }

    /** Returns whether the request may be sent; a suspect that may not be sent asks for a trial in the next exchange. */
    public synchronized SuspectVerdict check(String requestDigest, long nowNanos) {
        if (quarantined.contains(requestDigest)) {
            return new SuspectVerdict.Quarantined();
        }
        if (!isSuspect(requestDigest)) {
            return new SuspectVerdict.Clear();
        }
        wantedUntilNanos.put(requestDigest, nowNanos + TimeUnit.MILLISECONDS.toNanos(4 * exchangeMs));
        boolean mayBegin = nowNanos - trialDeadlinesNanos.getOrDefault(requestDigest, nowNanos) < 0;
        if (mayBegin && !trials.containsKey(requestDigest) && !isInFlight(requestDigest)) {
            return new SuspectVerdict.RunAlone();
        }
        return new SuspectVerdict.ComeBack(2 * exchangeMs);
    }

    /** Counts a request that is about to be sent. */
    public synchronized void begin(String requestDigest, EndpointLife life) {
        inFlight.computeIfAbsent(life, key -> HashMultiset.create()).add(requestDigest);
        if (isSuspect(requestDigest)) {
            trials.put(requestDigest, life.endpoint());
        }
    }

    /** Counts the end of a request whose endpoint was not lost; {@code event} tells how it ended. */
    public synchronized void end(String requestDigest, EndpointLife life, AttemptEvent event) {
        boolean wasSuspect = isSuspect(requestDigest);
        forget(requestDigest, life);
        if (wasSuspect && event == AttemptEvent.ANSWERED) {
            losses.removeIf(loss -> loss.requestDigest().equals(requestDigest));
            completions.add(new CrashReport.Completion(requestDigest, life));
            sequence++;
        }
    }

    /** Makes each request in flight at a lost endpoint a suspect. */
    public synchronized void endpointLost(EndpointLife life) {
        Multiset<String> digests = inFlight.remove(life);
        if (digests == null) {
            return;
        }
        for (String digest : digests.elementSet()) {
            losses.add(new CrashReport.Loss(digest, life));
            completions.removeIf(completion -> completion.requestDigest().equals(digest));
            trials.remove(digest);
            trialDeadlinesNanos.remove(digest);
        }
        sequence++;
    }

    /** Makes one request a suspect whose own connection failed in a way that a crash of its endpoint would explain. */
    public synchronized void lost(String requestDigest, EndpointLife life) {
        forget(requestDigest, life);
        losses.add(new CrashReport.Loss(requestDigest, life));
        trialDeadlinesNanos.remove(requestDigest);
        sequence++;
    }

    /** Returns what the leader has not acknowledged yet. */
    public synchronized CrashReport report() {
        return new CrashReport(sequence, losses, completions);
    }

    /** Returns the suspects that this VM wants to run or is running. */
    public synchronized ImmutableSet<String> wantedTrials(long nowNanos) {
        wantedUntilNanos.values().removeIf(until -> nowNanos - until > 0);
        return ImmutableSet.<String>builder()
                .addAll(wantedUntilNanos.keySet())
                .addAll(trials.keySet())
                .build();
    }

    /** Applies the leader's answer to a report sent at {@code reportSentNanos}. */
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

    /** Returns whether this VM runs a suspect at the endpoint, which must be alone there. */
    public synchronized boolean isReservedForSuspect(EndpointId endpoint) {
        return trials.containsValue(endpoint);
    }

    private void forget(String requestDigest, EndpointLife life) {
        trials.remove(requestDigest, life.endpoint());
        Multiset<String> digests = inFlight.get(life);
        if (digests == null) {
            return;
        }
        digests.remove(requestDigest);
        if (digests.isEmpty()) {
            inFlight.remove(life);
        }
    }

    private boolean isInFlight(String requestDigest) {
        return inFlight.values().stream().anyMatch(digests -> digests.contains(requestDigest));
    }

    private boolean isSuspect(String requestDigest) {
        return fleetSuspects.contains(requestDigest)
                || losses.stream().anyMatch(loss -> loss.requestDigest().equals(requestDigest));
    }
}
