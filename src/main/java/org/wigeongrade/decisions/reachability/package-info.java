/** Decides from failed connections whether an endpoint is at fault or the node that tries to reach it. */
package org.wigeongrade.decisions.reachability;
