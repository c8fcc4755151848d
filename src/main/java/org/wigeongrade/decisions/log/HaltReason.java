package org.wigeongrade.decisions.log;

/** Why a replica must stop and never continue silently. */
public enum HaltReason {
    /** The leader holds the same index and term with another digest. */
    DIGEST_MISMATCH,
    /** The leader would overwrite an entry that is committed here. */
    COMMITTED_CONFLICT
}
