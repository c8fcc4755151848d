/** The processes of a fleet whose nodes discover each other through seed addresses. */
package org.wigeongrade.fleet;
