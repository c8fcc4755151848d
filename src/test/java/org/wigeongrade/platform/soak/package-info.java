/** A randomized soak test: runs the real programs as separate processes, injects faults and checks guarantees. */
package org.wigeongrade.platform.soak;
