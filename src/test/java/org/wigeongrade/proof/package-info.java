/** Proofs by history: recorder, checkers, and failure tests over separate processes. */
package org.wigeongrade.proof;
