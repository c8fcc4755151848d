/**
 * Attempt outcomes, resumable streams, at-most-once claims, requests that may crash endpoints, and the final check
 * before a request is sent.
 */
package org.wigeongrade.decisions.outcomes;
