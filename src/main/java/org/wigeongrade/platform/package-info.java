/** What the platform asks of this system: the balancer's health check and the metrics endpoint. */
package org.wigeongrade.platform;
