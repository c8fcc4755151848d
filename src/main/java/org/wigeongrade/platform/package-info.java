/**
 * Translates between the users' platform and the ports of this system. Nothing is decided or kept here, and no name of
 * the platform's wire stands anywhere else but in {@code deploy/}.
 */
package org.wigeongrade.platform;
