package org.wigeongrade.decisions.log;

/** State of the state machine at a log position, with the membership in force there. Immutable. */
public record Snapshot(Position position, Membership membership, Bytes state) {}
