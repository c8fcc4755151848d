/** Runs the replicated log between control VMs: threads, Thrift transport and files around {@code decisions.log}. */
package org.wigeongrade.nodes.log;
