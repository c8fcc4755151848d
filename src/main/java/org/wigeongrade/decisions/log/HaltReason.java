package org.wigeongrade.decisions.log;

/** Reason why a replica halts for good instead of continuing with a log that may be wrong. */
public enum HaltReason {
    /** The leader's entry has the same index and term as the local one but a different digest. */
    DIGEST_MISMATCH,
    /** The leader sent an entry that would overwrite a locally committed one. */
    COMMITTED_CONFLICT
}
