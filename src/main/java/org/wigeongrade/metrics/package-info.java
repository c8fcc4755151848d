/** Counters, gauges and histograms of one process, in the Prometheus text format. */
package org.wigeongrade.metrics;
