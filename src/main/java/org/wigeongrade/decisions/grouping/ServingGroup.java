package org.wigeongrade.decisions.grouping;

import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * A whole group and the VM that takes its requests. Immutable; safe for use from any thread.
 *
 * @param paceFactor factor on the group's times that comes from its place in the fabric
 * @param suspect whether something speaks against a member, so that new requests should go elsewhere
 */
public record ServingGroup(
        GroupName group, VmIncarnation head, ModelVersionName model, double paceFactor, boolean suspect) {}
