/** Chooses the endpoint of a request by the time that it is predicted to take there, and refuses what cannot be served. */
package org.wigeongrade.decisions.balancing;
