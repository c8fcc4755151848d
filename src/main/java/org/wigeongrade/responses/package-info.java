/** Reading of HTTP responses: the one place that knows which bytes are a response, for every client of this system. */
package org.wigeongrade.responses;
