/** The HTTP API for operators, and the reader of the files in which they declare objects. */
package org.wigeongrade.operators;
