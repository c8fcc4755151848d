package org.wigeongrade.decisions.log;

import org.wigeongrade.ids.NodeName;

/**
 * A node together with the incarnation of its data folder.
 *
 * <p>Invariant: a folder that was lost never comes back under the same incarnation, so what a member promised it
 * still holds. Immutable; safe for use from any thread.
 */
public record Member(NodeName name, long incarnation) {}
