package org.wigeongrade.decisions.grouping;

import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;

/** A whole group and the VM that takes its requests. Immutable; safe for use from any thread. */
public record ServingGroup(GroupName group, VmIncarnation head, ModelVersionName model) {}
