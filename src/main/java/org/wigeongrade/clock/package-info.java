/** Clocks for waits and for leases. They depend on no other package of the project. */
package org.wigeongrade.clock;
