/** The entry role: receives callers' requests and forwards them to endpoints. */
package org.wigeongrade.fleet.entry;
