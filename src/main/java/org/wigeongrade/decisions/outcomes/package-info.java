/**
 * Outcome of each attempt, resumable streams, claims on single sends, requests that crash endpoints, and the last check
 * before a send.
 */
package org.wigeongrade.decisions.outcomes;
