/** What endpoint VMs say of themselves in heartbeats, and which of them may be used. */
package org.wigeongrade.decisions.discovery;
