/** The replicated log's decisions: elections, replication, leases, membership. No clock, thread, socket or file. */
package org.wigeongrade.decisions.log;
