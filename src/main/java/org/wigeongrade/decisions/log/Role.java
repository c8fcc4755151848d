package org.wigeongrade.decisions.log;

/** Role of a replica in its current term. */
public enum Role {
    /** Follows the leader. A learner, whose incarnation is not a voter, has this role too. */
    FOLLOWER,
    /** Asks the voters whether they would elect it, without changing its term. */
    PRE_CANDIDATE,
    /** Asks the voters to elect it in its term. */
    CANDIDATE,
    /** Appends and replicates entries. */
    LEADER
}
