/** Outcomes of attempts, at-most-once claims and quarantined requests. */
package org.wigeongrade.decisions.outcomes;
