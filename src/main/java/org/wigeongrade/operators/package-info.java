/** Everything that operators send and read: declared files and the HTTP API for them. */
package org.wigeongrade.operators;
