package org.wigeongrade.decisions.log;

import org.wigeongrade.ids.NodeName;

/**
 * A node together with the incarnation of its data folder.
 *
 * <p>Invariant: a lost folder never comes back under the same incarnation, so a member still stores every vote and
 * entry that it acknowledged. Immutable; safe for use from any thread.
 */
public record Member(NodeName name, long incarnation) {}
