/** Chooses endpoints for requests by predicted latency, and refuses requests that cannot be served. */
package org.wigeongrade.decisions.balancing;
