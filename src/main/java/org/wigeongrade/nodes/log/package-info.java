/** Runs the replicated log of the control VMs: threads, Thrift transport and files for {@code decisions.log}. */
package org.wigeongrade.nodes.log;
