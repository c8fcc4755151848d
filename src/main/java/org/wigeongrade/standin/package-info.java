/** Stand-ins that simulate external systems in tests and measurements: model engine, service and weight store. */
package org.wigeongrade.standin;
