package org.wigeongrade.decisions.placement;

import java.util.Locale;

/**
 * Reasons for placement decisions; docs/RULES.md has a section for the code of each. Immutable; safe for use from any
 * thread.
 */
public enum PlacementReason {
    GROUP_WANTED("the declared set asks for the group"),
    GROUP_REPLACED("the group was dissolved and the declared set still asks for it"),
    GROUP_NOT_DECLARED("the declared set no longer asks for the group"),
    MEMBER_LOST("a member's announcement lease has ended"),
    MEMBER_RESTARTED("a member's process has restarted"),
    MODEL_VERSION_CHANGED("the pool declares another model version"),
    GROUP_SIZE_CHANGED("the pool declares another number of VMs per replica"),
    ZONE_NOT_ALLOWED("the pool or group may no longer use the availability zone"),
    ORDER_NOT_FOLLOWED("the VM does not announce its order yet"),
    GROUP_NOT_ASSIGNED("the VM announces a group that it does not belong to"),
    LOADS_BOUND("the pool already has max_loads replicas loading"),
    ZONES_OUT("every availability zone that the group may use is out of service"),
    NO_DOMAIN_WITH_ENOUGH_VMS("no fabric domain has enough free VMs"),
    SPARES_KEPT("the remaining free VMs are kept as warm spares"),
    OLD_LEADER_ORDERS("an order of the previous leader may still arrive and the endpoints do not check fencing tokens");

    private final String text;

    PlacementReason(String text) {
        this.text = text;
    }

    /** Returns the reason code in snake_case. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the reason as a clause. */
    public String text() {
        return text;
    }

    /** Returns the code and text of the reason, with the detail in parentheses unless empty, as written to the log. */
    public String describe(String detail) {
        return code() + ": " + text + (detail.isEmpty() ? "" : " (" + detail + ")");
    }
}
