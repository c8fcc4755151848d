package org.wigeongrade.decisions.log;

/** The state machine's state with the log position and the membership that it stands for. Immutable. */
public record Snapshot(Position position, Membership membership, Bytes state) {}
