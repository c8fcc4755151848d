package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.PromptPartId;

/**
 * Finds out which requests crash endpoints: single requests that are sent again, and all requests that share a part of
 * their prompt. A crash breaks off every request at an endpoint, so most of the suspects are innocent; what tells them
 * apart is that a request that crashes endpoints is never completed, and is there at each of the crashes.
 *
 * <p>Invariants: a part is quarantined only if it was in flight, in different requests, at several endpoints that were
 * lost since the last complete response to a request with it, and no other part explains more of these losses. A loss
 * that a quarantined part explains counts against nothing else. At most one request with a quarantined part is sent
 * between two extensions of its quarantine. All times are on the leader's wait clock. Not thread safe.
 */
public final class CrashAttribution {
    /** Endpoints lost with a request in flight after which the same request is not sent again. */
    private static final int LOSSES_OF_REQUEST = 2;
    /** Endpoints lost with a part in flight after which it may be quarantined. */
    private static final int LOSSES_OF_PART = 3;
    /** Different requests that were lost with a part; a single one may be at fault itself. */
    private static final int REQUESTS_WITH_PART = 2;
    /** Losses after which parts that are always in flight together are all quarantined. */
    private static final int LOSSES_OF_INSEPARABLE_PARTS = 5;
    /** Losses after which entry nodes are asked for complete responses to requests with a part. */
    private static final int LOSSES_OF_PART_IN_QUESTION = 2;
    /** Time for which a loss counts. */
    static final long LOSS_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Losses that are remembered; several times those of a minute in which a zone fails. */
    private static final int MAX_LOSSES = 512;
    /** Delay of a pull, on the network and at a busy leader. */
    private static final long PULL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Minimum time between two updates, so that their cost does not grow with the entry nodes. */
    private static final long MIN_UPDATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Requests that are remembered for each loss; several times those that an endpoint runs at once. */
    private static final int MAX_REQUESTS_OF_LOSS = 256;
    /** Time until the first trial of a part; doubled after each trial that crashed an endpoint. */
    private static final long QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Time until the first trial of parts that were always in flight together, of which only one may be at fault. */
    private static final long EARLY_TRIAL_NANOS = TrialQuarantine.EARLY_TRIAL_NANOS;

    /** What was in flight at one lost endpoint, by request digest. */
    private record Loss(long lostNanos, long countedNanos, Map<String, ImmutableSet<PromptPartId>> requests) {
        boolean involves(PromptPartId part) {
            return requests.values().stream().anyMatch(parts -> parts.contains(part));
        }
    }

    /** Losses since the last completion of a part, and what is known of its completions. */
    private record Evidence(PromptPartId part, int losses, int requests, int completions) {
        boolean suffices() {
            return losses >= LOSSES_OF_PART + completions && requests >= REQUESTS_WITH_PART;
        }
    }

    /** Time until every entry node has reported what it had in flight at a lost endpoint. */
    private final long reportingNanos;
    /** Time until every entry node has answered for a part in question. */
    private final long answeringNanos;

    private final Map<EndpointIncarnation, Loss> losses = new LinkedHashMap<>();
    private final Map<PromptPartId, Map<NodeName, PartCompletions>> completions = new HashMap<>();
    private final Map<PromptPartId, Long> inQuestionSinceNanos = new HashMap<>();
    private final Map<PromptPartId, TrialQuarantine> quarantined = new HashMap<>();
    private final RequestQuarantines requests = new RequestQuarantines();

    private long nextUpdateNanos = Long.MIN_VALUE / 2;

    /** @param pullIntervalNanos time between two pulls of an entry node */
    public CrashAttribution(long pullIntervalNanos) {
        reportingNanos = pullIntervalNanos + PULL_DELAY_NANOS;
        answeringNanos = 2 * reportingNanos;
    }

    /** Records that a request was in flight at an endpoint that was lost just now. */
    public void recordLoss(EndpointIncarnation endpoint, String requestDigest, Set<PromptPartId> parts, long nowNanos) {
        recordLoss(new ReportedLoss(endpoint, requestDigest, parts, nowNanos, false), nowNanos);
    }

    /** Records that a request was in flight at an endpoint that was lost. */
    public void recordLoss(ReportedLoss reported, long nowNanos) {
        final String requestDigest = reported.requestDigest();
        final Set<PromptPartId> parts = reported.promptParts();
        final Loss loss = losses.computeIfAbsent(
                reported.endpoint(), unused -> new Loss(reported.lostNanos(), nowNanos, new HashMap<>()));
        if (loss.requests().size() < MAX_REQUESTS_OF_LOSS) {
            loss.requests().put(requestDigest, ImmutableSet.copyOf(parts));
        }
        if (losses.size() > MAX_LOSSES) {
            final Iterator<EndpointIncarnation> oldest = losses.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        parts.stream()
                .map(quarantined::get)
                .filter(part -> part != null && part.mayHaveFailedAt(reported.lostNanos()))
                .forEach(part -> part.extend(nowNanos));
        requests.recordLoss(requestDigest, reported.lostNanos(), nowNanos);
    }

    /**
     * Forgets the loss of an endpoint that turned out to have gone on, and releases the parts against which too little
     * is left.
     */
    public void withdrawLoss(EndpointIncarnation endpoint) {
        final Loss withdrawn = losses.remove(endpoint);
        if (withdrawn != null) {
            quarantined
                    .entrySet()
                    .removeIf(entry -> withdrawn.involves(entry.getKey())
                            && entry.getValue().restsOnLosses()
                            && lossesOfPart(entry.getKey()) < LOSSES_OF_PART);
        }
    }

    /** Records the complete responses that an entry node has seen to requests with a part in question. */
    public void recordCompletions(NodeName entryNode, PromptPartId part, PartCompletions seen) {
        if (inQuestionSinceNanos.containsKey(part) || quarantined.containsKey(part)) {
            completions.computeIfAbsent(part, unused -> new HashMap<>()).put(entryNode, seen);
        }
    }

    /** Records that an entry node refused a request because of a quarantined part. */
    public void recordRefused(NodeName entryNode, PromptPartId part, long nowNanos) {
        Optional.ofNullable(quarantined.get(part)).ifPresent(found -> found.recordRefused(entryNode, nowNanos));
    }

    /** Records that an entry node refused a quarantined request. */
    public void recordRefusedRequest(NodeName entryNode, String requestDigest, long nowNanos) {
        requests.recordRefused(entryNode, requestDigest, nowNanos);
    }

    /** Records that the trial of a quarantined request ended with a complete response. */
    public void recordCompletedTrial(String requestDigest) {
        requests.recordCompleted(requestDigest);
    }

    /** Takes over a quarantine that an earlier leader decided, as an entry node knows it. */
    public void adopt(PartQuarantine known, long nowNanos) {
        quarantined.computeIfAbsent(
                known.part(),
                unused ->
                        TrialQuarantine.adopted(nowNanos, QUARANTINE_NANOS, known.untilNanos(), known.failedTrials()));
    }

    /** Takes over the quarantine of a request that an earlier leader decided, as an entry node knows it. */
    public void adoptRequest(QuarantinedRequest known, long nowNanos) {
        requests.adopt(known, nowNanos);
    }

    /**
     * Releases and quarantines parts by the evidence so far, unless that was done just before; returns whether it was
     * done now.
     */
    public boolean update(long nowNanos) {
        if (nowNanos - nextUpdateNanos < 0) {
            return false;
        }
        nextUpdateNanos = nowNanos + MIN_UPDATE_INTERVAL_NANOS;
        losses.values().removeIf(loss -> nowNanos - loss.lostNanos() > LOSS_NANOS);
        releaseSoundParts(nowNanos);
        quarantined.values().forEach(part -> part.grantTrial(nowNanos));
        for (List<PromptPartId> next = nextToQuarantine(nowNanos); !next.isEmpty(); next = nextToQuarantine(nowNanos)) {
            final long forNanos = next.size() == 1 ? QUARANTINE_NANOS : EARLY_TRIAL_NANOS;
            next.forEach(part ->
                    quarantined.put(part, TrialQuarantine.decided(nowNanos, QUARANTINE_NANOS, nowNanos + forNanos)));
        }
        requests.update(requestsWithLosses(), nowNanos);
        return true;
    }

    /** Returns the parts for which entry nodes are to report their complete responses. */
    public ImmutableSet<PromptPartId> partsInQuestion() {
        return ImmutableSet.<PromptPartId>builder()
                .addAll(inQuestionSinceNanos.keySet())
                .addAll(quarantined.keySet())
                .build();
    }

    /** Returns the quarantined parts, with the trials of one entry node. */
    public ImmutableList<PartQuarantine> quarantinedParts(NodeName entryNode) {
        return quarantined.entrySet().stream()
                .map(entry -> new PartQuarantine(
                        entry.getKey(),
                        entry.getValue().untilNanos(),
                        entry.getValue().failedTrials(),
                        entry.getValue().isHeldBy(entryNode)))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the quarantined parts. */
    public ImmutableSet<PromptPartId> quarantinedParts() {
        return ImmutableSet.copyOf(quarantined.keySet());
    }

    /** Returns the number of recent losses with a part in flight. */
    public long lossesOfPart(PromptPartId part) {
        return losses.values().stream().filter(loss -> loss.involves(part)).count();
    }

    /** Returns the number of recent losses with a request in flight. */
    public long lossesOfRequest(String digest) {
        return losses.values().stream()
                .filter(loss -> loss.requests().containsKey(digest))
                .count();
    }

    /** Returns the digests of requests that are not sent again, with the time at which a trial may be granted. */
    public ImmutableMap<String, Long> quarantinedRequests() {
        return requests.untilNanos();
    }

    /** Returns the requests that are not sent again, with the trials of one entry node. */
    public ImmutableList<QuarantinedRequest> quarantinedRequests(NodeName entryNode) {
        return requests.list(entryNode);
    }

    /** Returns the requests against which the losses speak, with the time until which they are not sent. */
    private ImmutableMap<String, Long> requestsWithLosses() {
        final Map<String, List<Long>> lostNanosByRequest = new HashMap<>();
        unexplained()
                .forEach(loss -> loss.requests()
                        .keySet()
                        .forEach(digest -> lostNanosByRequest
                                .computeIfAbsent(digest, unused -> new ArrayList<>())
                                .add(loss.lostNanos())));
        final ImmutableMap.Builder<String, Long> untilNanos = ImmutableMap.builder();
        lostNanosByRequest.forEach((digest, lostNanos) -> {
            if (lostNanos.size() >= LOSSES_OF_REQUEST) {
                lostNanos.sort(Comparator.naturalOrder());
                final long decidingNanos = lostNanos.get(lostNanos.size() - LOSSES_OF_REQUEST);
                untilNanos.put(digest, decidingNanos + LOSS_NANOS);
            }
        });
        return untilNanos.build();
    }

    private void releaseSoundParts(long nowNanos) {
        final Set<Long> releasedSinceNanos = new HashSet<>();
        quarantined.entrySet().removeIf(entry -> {
            final TrialQuarantine part = entry.getValue();
            final long lastLostNanos = losses.values().stream()
                    .filter(loss -> loss.involves(entry.getKey()))
                    .mapToLong(Loss::lostNanos)
                    .reduce(part.sinceNanos(), Math::max);
            if (isCompletedAfter(entry.getKey(), lastLostNanos)) {
                releasedSinceNanos.add(part.sinceNanos());
                return true;
            }
            return part.isForgotten(nowNanos);
        });
        // A sound part was quarantined together with others, so one of those is at fault and needs no early trial.
        quarantined.values().stream()
                .filter(part -> releasedSinceNanos.contains(part.sinceNanos()))
                .forEach(part -> part.postpone(nowNanos + QUARANTINE_NANOS));
        completions
                .keySet()
                .removeIf(part -> !inQuestionSinceNanos.containsKey(part) && !quarantined.containsKey(part));
    }

    /** Returns the part that explains most losses, or several that cannot be told apart; empty if none suffices. */
    private List<PromptPartId> nextToQuarantine(long nowNanos) {
        final List<Evidence> candidates = evidence(nowNanos).stream()
                .filter(Evidence::suffices)
                .filter(found -> nowNanos - inQuestionSinceNanos.get(found.part()) >= answeringNanos)
                .toList();
        final int most = candidates.stream().mapToInt(Evidence::losses).max().orElse(0);
        final int fewestCompletions = candidates.stream()
                .filter(found -> found.losses() == most)
                .mapToInt(Evidence::completions)
                .min()
                .orElse(0);
        final List<PromptPartId> best = candidates.stream()
                .filter(found -> found.losses() == most && found.completions() == fewestCompletions)
                .map(Evidence::part)
                .toList();
        return best.size() > 1 && most < LOSSES_OF_INSEPARABLE_PARTS ? List.of() : best;
    }

    /** Collects the evidence against each part that is not quarantined, and keeps the parts in question up to date. */
    private List<Evidence> evidence(long nowNanos) {
        final Map<PromptPartId, List<Loss>> lossesByPart = new HashMap<>();
        for (final Loss loss : unexplained()) {
            if (nowNanos - loss.countedNanos() >= reportingNanos) {
                loss.requests().values().stream()
                        .flatMap(Collection::stream)
                        .distinct()
                        .filter(part -> !isCompletedAfter(part, loss.lostNanos()))
                        .forEach(part -> lossesByPart
                                .computeIfAbsent(part, unused -> new ArrayList<>())
                                .add(loss));
            }
        }
        lossesByPart.values().removeIf(found -> found.size() < LOSSES_OF_PART_IN_QUESTION);
        inQuestionSinceNanos.keySet().retainAll(lossesByPart.keySet());
        lossesByPart.keySet().forEach(part -> inQuestionSinceNanos.putIfAbsent(part, nowNanos));
        return lossesByPart.entrySet().stream()
                .map(entry -> evidence(entry.getKey(), entry.getValue()))
                .toList();
    }

    private Evidence evidence(PromptPartId part, List<Loss> withPart) {
        final Set<String> requests = new HashSet<>();
        withPart.forEach(loss -> loss.requests().forEach((digest, parts) -> {
            if (parts.contains(part)) {
                requests.add(digest);
            }
        }));
        final int completed = completionsOf(part).values().stream()
                .mapToInt(PartCompletions::count)
                .sum();
        return new Evidence(part, withPart.size(), requests.size(), Math.min(CompletedParts.MAX_COUNT, completed));
    }

    /** Returns the losses that no quarantined part explains. */
    private List<Loss> unexplained() {
        return losses.values().stream()
                .filter(loss -> quarantined.keySet().stream().noneMatch(loss::involves))
                .toList();
    }

    private boolean isCompletedAfter(PromptPartId part, long nanos) {
        return completionsOf(part).values().stream().anyMatch(seen -> seen.lastNanos() - nanos > 0);
    }

    private Map<NodeName, PartCompletions> completionsOf(PromptPartId part) {
        return completions.getOrDefault(part, ImmutableMap.of());
    }
}
