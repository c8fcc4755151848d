/** Outcome of each attempt, resumable streams, requests that crash endpoints, and the last check before a send. */
package org.wigeongrade.decisions.outcomes;
