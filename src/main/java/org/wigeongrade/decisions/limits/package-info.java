/** Shares of bounded things: the leader's ledger, the table of each entry VM, and the limits of organisations. */
package org.wigeongrade.decisions.limits;
