/** Decides which VMs form which groups, when groups are dissolved, and which orders are sent to engine VMs. */
package org.wigeongrade.decisions.placement;
