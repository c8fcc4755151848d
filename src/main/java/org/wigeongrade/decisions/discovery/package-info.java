/** Heartbeats of endpoint VMs, and which VMs may be used. */
package org.wigeongrade.decisions.discovery;
