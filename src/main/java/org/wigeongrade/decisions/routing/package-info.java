/** Choice of the endpoint for each attempt, the prefix index, and the rules for retries. */
package org.wigeongrade.decisions.routing;
