/** The entry role: takes callers' requests and sends them to endpoints. */
package org.wigeongrade.fleet.entry;
