/** The deterministic state machine that the control VMs replicate, and the commands it applies. */
package org.wigeongrade.decisions.control;
