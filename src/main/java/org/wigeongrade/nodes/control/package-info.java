/** The control role: applies the replicated log, answers pulls, places groups and sends orders. */
package org.wigeongrade.nodes.control;
