/** The HTTP API for callers: generations in the form that the ecosystem's clients speak, and plain services. */
package org.wigeongrade.callers;
