/**
 * Shares of limited resources: how the leader allocates them, how each entry VM uses them, and the limits of
 * organisations.
 */
package org.wigeongrade.decisions.limits;
