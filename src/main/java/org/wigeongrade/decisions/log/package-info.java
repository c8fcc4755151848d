/**
 * Raft consensus for the replicated log: elections, replication, leader leases and membership changes. Uses no clock,
 * thread, socket or file.
 */
package org.wigeongrade.decisions.log;
