/** The load tool: open-loop load over entry VMs, checked answers and latency reports. */
package org.wigeongrade.bench;
