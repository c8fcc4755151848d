package org.wigeongrade.decisions.log;

/**
 * How many voters the cluster aims for, and how many of them must store an entry before it counts as committed.
 *
 * <p>Invariant: with {@code wantedVoters} voters, the loss of {@code minCopies - 1} disks leaves a quorum that still
 * holds every committed entry. Immutable; safe for use from any thread.
 *
 * @param wantedVoters learners are promoted to voters until there are this many
 * @param minCopies how many voters must have synced an entry, even if a quorum of the current voters is smaller
 * @param replaceSilentAfterNanos a voter that has been silent for longer than this is replaced by a caught-up learner
 */
public record VoterPolicy(int wantedVoters, int minCopies, long replaceSilentAfterNanos) {
    /** Every configured node is a voter, and a silent voter is never removed. */
    public static final VoterPolicy ALL_CONFIGURED = new VoterPolicy(Integer.MAX_VALUE, 1, Long.MAX_VALUE);

    public VoterPolicy {
        if (wantedVoters < 1 || minCopies < 1 || minCopies > wantedVoters || replaceSilentAfterNanos <= 0) {
            throw new IllegalArgumentException(
                    "wantedVoters, minCopies and replaceSilentAfterNanos must be positive, and minCopies at most wantedVoters");
        }
    }

    /**
     * Returns the policy that tolerates the loss of {@code toleratedLosses} disks at once.
     *
     * @param replaceSilentAfterNanos see {@link VoterPolicy}
     */
    public static VoterPolicy tolerating(int toleratedLosses, long replaceSilentAfterNanos) {
        return new VoterPolicy(2 * toleratedLosses + 1, toleratedLosses + 1, replaceSilentAfterNanos);
    }

    /** Returns how many voters of this membership must have synced an entry before it counts as committed. */
    int requiredCopies(Membership membership) {
        final int voters = membership.incarnations().size();
        return Math.min(voters, Math.max(membership.quorum(), minCopies));
    }
}
