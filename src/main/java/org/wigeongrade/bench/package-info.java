/** The load tool, and benchmarks that measure decisions in virtual time and the replicated log on real files. */
package org.wigeongrade.bench;
