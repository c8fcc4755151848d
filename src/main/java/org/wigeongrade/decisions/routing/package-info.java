/** Endpoint selection for each attempt, the prefix index, and the retry rules. */
package org.wigeongrade.decisions.routing;
