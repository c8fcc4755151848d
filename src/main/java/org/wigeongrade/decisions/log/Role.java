package org.wigeongrade.decisions.log;

/** What a replica does in its current term. */
public enum Role {
    /** Follows the leader; as a learner too, if its incarnation is no voter. */
    FOLLOWER,
    /** Asks whether it would be elected; its term stays. */
    PRE_CANDIDATE,
    /** Stands for election in its term. */
    CANDIDATE,
    /** Appends and replicates. */
    LEADER
}
