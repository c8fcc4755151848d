/** Everything said to and heard from endpoints: announcements, orders, and the sends of requests. */
package org.wigeongrade.endpoints;
