package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.Revision;

/**
 * The at-most-once claims of the fleet, one for each organisation and idempotency key.
 *
 * <p>Invariants: {@link #claim} accepts at most one request id for a key until its send is known not to have run or the
 * retention period has passed. The bodies of the stored responses stay within {@link #MAX_RESPONSE_BYTES}: the oldest
 * are dropped first, while their claims are kept. Results depend only on the commands. Not thread-safe;
 * {@code ControlState} guards it.
 */
public final class ClaimTable {
    private static final long MS_PER_HOUR = 60L * 60 * 1_000;

    /** How long a claim is kept after its last change, in milliseconds. */
    public static final long RETENTION_MS = 24 * MS_PER_HOUR;

    /** Maximum number of claims that one organisation may hold at once. */
    public static final int MAX_CLAIMS_PER_ORGANISATION = 4_000;

    /** Maximum number of claims that all organisations together may hold at once. */
    public static final int MAX_CLAIMS = 8_000;

    /** Maximum total size of the bodies of all stored responses, in bytes. */
    public static final long MAX_RESPONSE_BYTES = 4L * 1024 * 1024;

    private static final Comparator<Claim> OLDEST_FIRST =
            Comparator.comparingLong(Claim::retainUntilEpochMs).thenComparing(ClaimKey::of);

    private final TreeMap<ClaimKey, Claim> claims = new TreeMap<>();
    private final TreeMap<OrganisationName, Integer> claimCounts = new TreeMap<>();
    private final TreeSet<Claim> claimsWithResponse = new TreeSet<>(OLDEST_FIRST);
    private long responseBytes;

    /**
     * Claims the single send of a request. The same request id may claim again while its claim is open, since the first
     * reply to it may have been lost.
     *
     * @param nowEpochMs time of the state machine
     * @param longestRunMs longest time that the request may run after it was sent
     * @param revision current revision, for the result
     */
    public CommandResult claim(Command.ClaimRequest command, long nowEpochMs, long longestRunMs, Revision revision) {
        final ClaimKey key = new ClaimKey(command.organisation(), command.idempotencyKey());
        final Claim earlier = claims.get(key);
        if (earlier != null) {
            return repeatClaim(key, earlier, command, nowEpochMs, revision);
        }
        if (isFull(command.organisation())) {
            return refused(
                    ErrorKind.ORGANISATION_LIMIT,
                    key,
                    "cannot be claimed: too many claims from the last " + RETENTION_MS / MS_PER_HOUR
                            + " hours are stored",
                    revision);
        }
        put(key, newClaim(command, nowEpochMs, longestRunMs));
        return new CommandResult.Accepted(revision);
    }

    private boolean isFull(OrganisationName organisation) {
        return claims.size() >= MAX_CLAIMS || claimCounts.getOrDefault(organisation, 0) >= MAX_CLAIMS_PER_ORGANISATION;
    }

    private static CommandResult repeatClaim(
            ClaimKey key, Claim earlier, Command.ClaimRequest command, long nowEpochMs, Revision revision) {
        if (!earlier.requestDigest().equals(command.requestDigest())) {
            return refused(ErrorKind.IDEMPOTENCY_KEY_REUSED, key, "was used for a different request", revision);
        }
        if (earlier.outcome() == RunStatus.COMPLETED && earlier.answer() != null) {
            return new CommandResult.AlreadyAnswered(earlier.answer());
        }
        if (earlier.outcome() == RunStatus.COMPLETED) {
            return refused(
                    ErrorKind.OUTCOME_UNKNOWN,
                    key,
                    "was used by request " + earlier.requestId()
                            + ", which completed; its response is no longer stored",
                    revision);
        }
        if (!earlier.isInProgress(nowEpochMs)) {
            return refused(
                    ErrorKind.OUTCOME_UNKNOWN,
                    key,
                    "was used by request " + earlier.requestId() + ", which was sent once; its outcome is not known",
                    revision);
        }
        if (earlier.isMadeBy(command) && nowEpochMs <= earlier.sendDeadlineEpochMs()) {
            return new CommandResult.Accepted(revision);
        }
        return refused(ErrorKind.REQUEST_IN_PROGRESS, key, "is in use by request " + earlier.requestId(), revision);
    }

    /**
     * Records how a claimed send ended. Only the request that holds the claim may do so. Repeating the command has no
     * effect.
     */
    public CommandResult finish(Command.FinishClaim command, long nowEpochMs, Revision revision) {
        final ClaimKey key = new ClaimKey(command.organisation(), command.idempotencyKey());
        final Claim claim = claims.get(key);
        if (claim == null) {
            return refused(ErrorKind.NOT_FOUND, key, "has no claim", revision);
        }
        if (!claim.requestId().equals(command.requestId())) {
            return refused(
                    ErrorKind.IDEMPOTENCY_KEY_REUSED,
                    key,
                    "is claimed by request " + claim.requestId() + ", not by " + command.requestId(),
                    revision);
        }
        if (claim.outcome() == RunStatus.COMPLETED) {
            return new CommandResult.Accepted(revision);
        }
        return switch (command.outcome()) {
            case NOT_RUN -> release(key, claim, revision);
            case UNKNOWN -> replace(key, claim.finished(RunStatus.UNKNOWN, null, retainUntil(nowEpochMs)), revision);
            case COMPLETED ->
                replace(key, claim.finished(RunStatus.COMPLETED, command.answer(), retainUntil(nowEpochMs)), revision);
        };
    }

    private CommandResult release(ClaimKey key, Claim claim, Revision revision) {
        if (claim.outcome() == RunStatus.UNKNOWN) {
            return refused(
                    ErrorKind.OUTCOME_UNKNOWN,
                    key,
                    "belongs to a request that may have run, so its claim cannot be released",
                    revision);
        }
        remove(claim);
        return new CommandResult.Accepted(revision);
    }

    private CommandResult replace(ClaimKey key, Claim claim, Revision revision) {
        remove(claims.get(key));
        put(key, claim);
        dropOldestResponses();
        return new CommandResult.Accepted(revision);
    }

    private void dropOldestResponses() {
        while (responseBytes > MAX_RESPONSE_BYTES) {
            final Claim oldest = claimsWithResponse.first();
            remove(oldest);
            put(ClaimKey.of(oldest), oldest.finished(RunStatus.COMPLETED, null, oldest.retainUntilEpochMs()));
        }
    }

    private void put(ClaimKey key, Claim claim) {
        claims.put(key, claim);
        claimCounts.merge(claim.organisation(), 1, Integer::sum);
        if (claim.answer() != null) {
            claimsWithResponse.add(claim);
            responseBytes += claim.answer().body().length;
        }
    }

    private void remove(Claim claim) {
        claims.remove(ClaimKey.of(claim));
        claimCounts.merge(claim.organisation(), -1, Integer::sum);
        if (claim.answer() != null) {
            claimsWithResponse.remove(claim);
            responseBytes -= claim.answer().body().length;
        }
    }

    /** Removes the claims whose retention period has passed. */
    public void expire(long nowEpochMs) {
        final List<Claim> expired = claims.values().stream()
                .filter(claim -> claim.retainUntilEpochMs() <= nowEpochMs)
                .toList();
        expired.forEach(this::remove);
    }

    /** Returns the claim for a key, if there is one. */
    public Optional<Claim> find(OrganisationName organisation, String idempotencyKey) {
        return Optional.ofNullable(claims.get(new ClaimKey(organisation, idempotencyKey)));
    }

    /** Returns the total size of the bodies of all stored responses, in bytes. */
    public long responseBytes() {
        return responseBytes;
    }

    /** Returns all claims in the order of their keys. */
    public List<Claim> claims() {
        return ImmutableList.copyOf(claims.values());
    }

    /** Replaces all claims. */
    public void restore(List<Claim> restored) {
        claims.clear();
        claimCounts.clear();
        claimsWithResponse.clear();
        responseBytes = 0;
        restored.forEach(claim -> put(ClaimKey.of(claim), claim));
    }

    private static Claim newClaim(Command.ClaimRequest command, long nowEpochMs, long longestRunMs) {
        final long outcomeDeadlineEpochMs = command.sendDeadlineEpochMs() + longestRunMs;
        return new Claim(
                command.organisation(),
                command.idempotencyKey(),
                command.requestDigest(),
                command.requestId(),
                command.entryVm(),
                command.sendDeadlineEpochMs(),
                outcomeDeadlineEpochMs,
                retainUntil(Math.max(nowEpochMs, outcomeDeadlineEpochMs)),
                null,
                null);
    }

    private static long retainUntil(long fromEpochMs) {
        return fromEpochMs + RETENTION_MS;
    }

    private static CommandResult refused(ErrorKind kind, ClaimKey key, String problem, Revision revision) {
        return new CommandResult.Refused(
                kind, "idempotency key '" + key.idempotencyKey() + "' " + problem + ". " + kind.fix(), revision);
    }
}
