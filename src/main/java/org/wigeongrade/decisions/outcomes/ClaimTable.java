package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.CommandResult;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.RunClaim;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.Revision;

/**
 * The at-most-once claims of the fleet, one for each organisation and idempotency key.
 *
 * <p>Invariant: {@link #claim} answers Accepted at most once for a key until its send is known not to have run or the
 * retention has passed. Results depend on the commands alone. Not thread safe; {@code ControlState} guards it.
 */
public final class ClaimTable {
    /** How long a claim is kept after its last change, in milliseconds. */
    public static final long RETENTION_MS = 24L * 60 * 60 * 1_000;

    private final TreeMap<Key, Claim> claims = new TreeMap<>();

    /**
     * Claims the single send of a request.
     *
     * @param nowEpochMs time of the state machine
     * @param longestRunMs longest time that the request may run after it was sent
     * @param revision current revision, for the result
     */
    public CommandResult claim(Command.ClaimRequest command, long nowEpochMs, long longestRunMs, Revision revision) {
        final Key key = new Key(command.organisation(), command.idempotencyKey());
        final Claim earlier = claims.get(key);
        if (earlier == null) {
            claims.put(key, open(command, nowEpochMs, longestRunMs));
            return new CommandResult.Accepted(revision);
        }
        if (!earlier.requestDigest().equals(command.requestDigest())) {
            return refused(ErrorKind.IDEMPOTENCY_KEY_REUSED, key, "was used for a different request", revision);
        }
        if (earlier.outcome() == RunClaim.COMPLETED) {
            return new CommandResult.AlreadyAnswered(earlier.answer());
        }
        if (earlier.isInProgress(nowEpochMs)) {
            return refused(ErrorKind.REQUEST_IN_PROGRESS, key, "is in use by request " + earlier.requestId(), revision);
        }
        return refused(
                ErrorKind.OUTCOME_UNKNOWN,
                key,
                "was sent once by request " + earlier.requestId() + " and its outcome is not known",
                revision);
    }

    /** Records how a claimed send ended. Only the request that holds the claim may do so; repeats change nothing. */
    public CommandResult finish(Command.FinishClaim command, long nowEpochMs, Revision revision) {
        final Key key = new Key(command.organisation(), command.idempotencyKey());
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
        return record(key, claim, command, nowEpochMs, revision);
    }

    private CommandResult record(
            Key key, Claim claim, Command.FinishClaim command, long nowEpochMs, Revision revision) {
        if (claim.outcome() == RunClaim.COMPLETED) {
            return new CommandResult.AlreadyAnswered(claim.answer());
        }
        return switch (command.outcome()) {
            case NOT_RUN -> free(key, claim, revision);
            case UNKNOWN -> keep(key, claim.finished(RunClaim.UNKNOWN, null, retainUntil(nowEpochMs)), revision);
            case COMPLETED ->
                keep(key, claim.finished(RunClaim.COMPLETED, command.answer(), retainUntil(nowEpochMs)), revision);
        };
    }

    private CommandResult free(Key key, Claim claim, Revision revision) {
        if (claim.outcome() == RunClaim.UNKNOWN) {
            return refused(ErrorKind.OUTCOME_UNKNOWN, key, "may have run and cannot be freed", revision);
        }
        claims.remove(key);
        return new CommandResult.Accepted(revision);
    }

    private CommandResult keep(Key key, Claim claim, Revision revision) {
        claims.put(key, claim);
        return new CommandResult.Accepted(revision);
    }

    /** Removes the claims whose retention has passed. */
    public void expire(long nowEpochMs) {
        claims.values().removeIf(claim -> claim.retainUntilEpochMs() <= nowEpochMs);
    }

    /** Returns the claim of a key, if there is one. */
    public Optional<Claim> find(OrganisationName organisation, String idempotencyKey) {
        return Optional.ofNullable(claims.get(new Key(organisation, idempotencyKey)));
    }

    /** Returns all claims in the order of their keys. */
    public List<Claim> claims() {
        return ImmutableList.copyOf(claims.values());
    }

    /** Replaces all claims. */
    public void restore(List<Claim> restored) {
        claims.clear();
        restored.forEach(claim -> claims.put(new Key(claim.organisation(), claim.idempotencyKey()), claim));
    }

    private static Claim open(Command.ClaimRequest command, long nowEpochMs, long longestRunMs) {
        return new Claim(
                command.organisation(),
                command.idempotencyKey(),
                command.requestDigest(),
                command.requestId(),
                command.entryVm(),
                command.sendDeadlineEpochMs(),
                command.sendDeadlineEpochMs() + longestRunMs,
                retainUntil(Math.max(nowEpochMs, command.sendDeadlineEpochMs() + longestRunMs)),
                null,
                null);
    }

    private static long retainUntil(long fromEpochMs) {
        return fromEpochMs + RETENTION_MS;
    }

    private static CommandResult refused(ErrorKind kind, Key key, String what, Revision revision) {
        return new CommandResult.Refused(
                kind, "idempotency key '" + key.idempotencyKey() + "' " + what + ". " + kind.fix(), revision);
    }

    private record Key(OrganisationName organisation, String idempotencyKey) implements Comparable<Key> {
        private static final Comparator<Key> ORDER =
                Comparator.comparing(Key::organisation).thenComparing(Key::idempotencyKey);

        @Override
        public int compareTo(Key other) {
            return ORDER.compare(this, other);
        }
    }
}
