/** The control role: applies the replicated log, answers pulls, places groups and gives orders. */
package org.wigeongrade.nodes.control;
