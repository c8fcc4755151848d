/** The announcements of endpoint VMs, and the serving leases that groups and services get from them. */
package org.wigeongrade.decisions.membership;
