/** A randomized soak: the real programs as separate processes, faults from outside, promises checked while it runs. */
package org.wigeongrade.platform.soak;
