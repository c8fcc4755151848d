package org.wigeongrade.proof;

/** Phase of one recorded call. */
enum Phase {
    /** The client has started the operation. */
    INVOKE,
    /** The operation is known to have taken effect. */
    OK,
    /** The operation is known not to have taken effect. */
    FAIL,
    /** The operation may or may not have taken effect, now or later. */
    UNKNOWN
}
