/** Listening and calling by HTTP on one event loop. */
package org.wigeongrade.fleet.net;
