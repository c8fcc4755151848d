/**
 * Adapters between the users' platform and the interfaces of this system. This package makes no decisions and keeps no
 * state. Names of the platform's wire format occur only here and in {@code deploy/}.
 */
package org.wigeongrade.platform;
