package org.wigeongrade.decisions.grouping;

import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * A whole group and the VM that takes its requests. Immutable; safe for use from any thread.
 *
 * @param paceFactor factor on the group's times that comes from its place in the fabric
 */
public record ServingGroup(GroupName group, VmIncarnation head, ModelVersionName model, double paceFactor) {}
