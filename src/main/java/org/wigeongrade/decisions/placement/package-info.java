/** Which VMs form which groups, when groups are dissolved, and which orders endpoint VMs get. */
package org.wigeongrade.decisions.placement;
