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
import org.wigeongrade.errors.RunClaim;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.Revision;

/**
 * The at-most-once claims of the fleet, one for each organisation and idempotency key.
 *
 * <p>Invariants: {@link #claim} accepts one request id at most for a key until its send is known not to have run or the
 * retention has passed; the bodies of the kept answers stay within {@link #MAX_ANSWER_BYTES}, the oldest are dropped
 * first and their claims stay. Results depend on the commands alone. Not thread safe; {@code ControlState} guards it.
 */
public final class ClaimTable {
    private static final long MS_PER_HOUR = 60L * 60 * 1_000;

    /** How long a claim is kept after its last change, in milliseconds. */
    public static final long RETENTION_MS = 24 * MS_PER_HOUR;

    /** Claims that one organisation may hold at once. */
    public static final int MAX_CLAIMS_PER_ORGANISATION = 4_000;

    /** Claims that all organisations may hold at once. */
    public static final int MAX_CLAIMS = 8_000;

    /** Bodies of all kept answers together, in bytes. */
    public static final long MAX_ANSWER_BYTES = 4L * 1024 * 1024;

    private static final Comparator<Claim> OLDEST_FIRST =
            Comparator.comparingLong(Claim::retainUntilEpochMs).thenComparing(ClaimKey::of);

    private final TreeMap<ClaimKey, Claim> claims = new TreeMap<>();
    private final TreeMap<OrganisationName, Integer> countOf = new TreeMap<>();
    private final TreeSet<Claim> withAnswer = new TreeSet<>(OLDEST_FIRST);
    private long answerBytes;

    /**
     * Claims the single send of a request. The same request id may claim again while its claim is open, since its first
     * answer may be lost.
     *
     * @param nowEpochMs time of the state machine
     * @param longestRunMs longest time that the request may run after it was sent
     * @param revision current revision, for the result
     */
    public CommandResult claim(Command.ClaimRequest command, long nowEpochMs, long longestRunMs, Revision revision) {
        final ClaimKey key = new ClaimKey(command.organisation(), command.idempotencyKey());
        final Claim earlier = claims.get(key);
        if (earlier != null) {
            return claimAgain(key, earlier, command, nowEpochMs, revision);
        }
        if (isFull(command.organisation())) {
            return refused(
                    ErrorKind.ORGANISATION_LIMIT,
                    key,
                    "cannot be claimed: too many claims of the last " + RETENTION_MS / MS_PER_HOUR + " hours are kept",
                    revision);
        }
        put(key, open(command, nowEpochMs, longestRunMs));
        return new CommandResult.Accepted(revision);
    }

    private boolean isFull(OrganisationName organisation) {
        return claims.size() >= MAX_CLAIMS || countOf.getOrDefault(organisation, 0) >= MAX_CLAIMS_PER_ORGANISATION;
    }

    private static CommandResult claimAgain(
            ClaimKey key, Claim earlier, Command.ClaimRequest command, long nowEpochMs, Revision revision) {
        if (!earlier.requestDigest().equals(command.requestDigest())) {
            return refused(ErrorKind.IDEMPOTENCY_KEY_REUSED, key, "was used for a different request", revision);
        }
        if (earlier.outcome() == RunClaim.COMPLETED && earlier.answer() != null) {
            return new CommandResult.AlreadyAnswered(earlier.answer());
        }
        if (earlier.outcome() == RunClaim.COMPLETED) {
            return refused(
                    ErrorKind.OUTCOME_UNKNOWN,
                    key,
                    "ran once by request " + earlier.requestId() + " and its answer is no longer kept",
                    revision);
        }
        if (!earlier.isInProgress(nowEpochMs)) {
            return refused(
                    ErrorKind.OUTCOME_UNKNOWN,
                    key,
                    "was sent once by request " + earlier.requestId() + " and its outcome is not known",
                    revision);
        }
        if (earlier.isOf(command) && nowEpochMs <= earlier.sendDeadlineEpochMs()) {
            return new CommandResult.Accepted(revision);
        }
        return refused(ErrorKind.REQUEST_IN_PROGRESS, key, "is in use by request " + earlier.requestId(), revision);
    }

    /** Records how a claimed send ended. Only the request that holds the claim may do so; repeats change nothing. */
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
        if (claim.outcome() == RunClaim.COMPLETED) {
            return new CommandResult.Accepted(revision);
        }
        return switch (command.outcome()) {
            case NOT_RUN -> free(key, claim, revision);
            case UNKNOWN -> keep(key, claim.finished(RunClaim.UNKNOWN, null, retainUntil(nowEpochMs)), revision);
            case COMPLETED ->
                keep(key, claim.finished(RunClaim.COMPLETED, command.answer(), retainUntil(nowEpochMs)), revision);
        };
    }

    private CommandResult free(ClaimKey key, Claim claim, Revision revision) {
        if (claim.outcome() == RunClaim.UNKNOWN) {
            return refused(ErrorKind.OUTCOME_UNKNOWN, key, "may have run and cannot be freed", revision);
        }
        remove(claim);
        return new CommandResult.Accepted(revision);
    }

    private CommandResult keep(ClaimKey key, Claim claim, Revision revision) {
        remove(claims.get(key));
        put(key, claim);
        dropOldestAnswers();
        return new CommandResult.Accepted(revision);
    }

    private void dropOldestAnswers() {
        while (answerBytes > MAX_ANSWER_BYTES) {
            final Claim oldest = withAnswer.first();
            remove(oldest);
            put(ClaimKey.of(oldest), oldest.finished(RunClaim.COMPLETED, null, oldest.retainUntilEpochMs()));
        }
    }

    private void put(ClaimKey key, Claim claim) {
        claims.put(key, claim);
        countOf.merge(claim.organisation(), 1, Integer::sum);
        if (claim.answer() != null) {
            withAnswer.add(claim);
            answerBytes += claim.answer().body().length;
        }
    }

    private void remove(Claim claim) {
        claims.remove(ClaimKey.of(claim));
        countOf.merge(claim.organisation(), -1, Integer::sum);
        if (claim.answer() != null) {
            withAnswer.remove(claim);
            answerBytes -= claim.answer().body().length;
        }
    }

    /** Removes the claims whose retention has passed. */
    public void expire(long nowEpochMs) {
        final List<Claim> expired = claims.values().stream()
                .filter(claim -> claim.retainUntilEpochMs() <= nowEpochMs)
                .toList();
        expired.forEach(this::remove);
    }

    /** Returns the claim of a key, if there is one. */
    public Optional<Claim> find(OrganisationName organisation, String idempotencyKey) {
        return Optional.ofNullable(claims.get(new ClaimKey(organisation, idempotencyKey)));
    }

    /** Returns the bytes of all kept answers' bodies. */
    public long answerBytes() {
        return answerBytes;
    }

    /** Returns all claims in the order of their keys. */
    public List<Claim> claims() {
        return ImmutableList.copyOf(claims.values());
    }

    /** Replaces all claims. */
    public void restore(List<Claim> restored) {
        claims.clear();
        countOf.clear();
        withAnswer.clear();
        answerBytes = 0;
        restored.forEach(claim -> put(ClaimKey.of(claim), claim));
    }

    private static Claim open(Command.ClaimRequest command, long nowEpochMs, long longestRunMs) {
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

    private static CommandResult refused(ErrorKind kind, ClaimKey key, String what, Revision revision) {
        return new CommandResult.Refused(
                kind, "idempotency key '" + key.idempotencyKey() + "' " + what + ". " + kind.fix(), revision);
    }
}
