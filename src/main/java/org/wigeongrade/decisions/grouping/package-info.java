/** Forms groups of engine VMs for models, opens them, and repairs them when a member is lost. */
package org.wigeongrade.decisions.grouping;
