package org.wigeongrade.decisions.log;

/**
 * How many voters a log grows to, and how many of them must hold an entry before it counts as committed.
 *
 * <p>Invariant: with {@code wantedVoters} voters, a quorum still holds every committed entry after {@code minCopies - 1}
 * disks were lost. Immutable; safe for use from any thread.
 *
 * @param wantedVoters learners are made voters until there are this many
 * @param minCopies voters that must have synced an entry, also while a quorum of the present voters is smaller
 * @param replaceSilentAfterNanos a voter that was silent for this long gives way to a learner that caught up
 */
public record VoterPolicy(int wantedVoters, int minCopies, long replaceSilentAfterNanos) {
    /** Every configured node votes, and a silent voter keeps its vote. */
    public static final VoterPolicy ALL_CONFIGURED = new VoterPolicy(Integer.MAX_VALUE, 1, Long.MAX_VALUE);

    public VoterPolicy {
        if (wantedVoters < 1 || minCopies < 1 || minCopies > wantedVoters || replaceSilentAfterNanos <= 0) {
            throw new IllegalArgumentException(
                    "voters wanted, copies and silence must be positive, with no more copies than voters");
        }
    }

    /**
     * Returns the policy that outlives the loss of {@code lossesBorne} disks at once.
     *
     * @param replaceSilentAfterNanos see the record
     */
    public static VoterPolicy bearing(int lossesBorne, long replaceSilentAfterNanos) {
        return new VoterPolicy(2 * lossesBorne + 1, lossesBorne + 1, replaceSilentAfterNanos);
    }

    /** Returns how many voters of this membership must have synced an entry before it is committed. */
    int copies(Membership membership) {
        final int voters = membership.incarnations().size();
        return Math.min(voters, Math.max(membership.quorum(), minCopies));
    }
}
