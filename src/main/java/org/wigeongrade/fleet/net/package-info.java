/** HTTP server and client parts that run on one event loop. */
package org.wigeongrade.fleet.net;
