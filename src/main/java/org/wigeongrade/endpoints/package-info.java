/** Communication with endpoints: receiving announcements, and sending orders and requests. */
package org.wigeongrade.endpoints;
