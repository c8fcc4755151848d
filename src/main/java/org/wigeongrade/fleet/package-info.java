/** Processes of a fleet whose nodes find each other through seeds. */
package org.wigeongrade.fleet;
