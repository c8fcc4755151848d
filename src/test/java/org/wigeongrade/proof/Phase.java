package org.wigeongrade.proof;

/** Phase of one recorded operation. */
enum Phase {
    /** The client has begun the operation. */
    INVOKE,
    /** The operation is known to have taken effect. */
    OK,
    /** The operation is known not to have taken effect. */
    FAIL,
    /** The operation may or may not have taken effect, now or later. */
    UNKNOWN
}
