/** The HTTP API for callers: generations in the format that common completion clients use, and plain services. */
package org.wigeongrade.callers;
