/** What endpoint VMs announce, and which groups and services may serve because of it. */
package org.wigeongrade.decisions.membership;
