/** Stand-ins for the outside systems: model engine, plain service and weight store. For tests and measurements. */
package org.wigeongrade.standin;
