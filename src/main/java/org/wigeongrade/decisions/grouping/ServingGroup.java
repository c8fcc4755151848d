package org.wigeongrade.decisions.grouping;

import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * A complete group and the VM that receives its requests. Immutable; safe for use from any thread.
 *
 * @param paceFactor factor by which the group's position in the fabric multiplies its latencies
 * @param suspect whether a member may have failed, so that new requests should go elsewhere
 */
public record ServingGroup(
        GroupName group, VmIncarnation head, ModelVersionName model, double paceFactor, boolean suspect) {}
