/**
 * Attempt outcomes, resumable streams, claims on single sends, requests that may crash endpoints, and the final check
 * before a request is sent.
 */
package org.wigeongrade.decisions.outcomes;
