/** The Thrift communication between the processes of a fleet. */
package org.wigeongrade.nodes;
