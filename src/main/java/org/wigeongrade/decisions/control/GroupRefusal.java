package org.wigeongrade.decisions.control;

import java.util.Locale;
import org.wigeongrade.decisions.config.ObjectId;

/** Reason why a command to form or dissolve a group was refused. Immutable; safe for use from any thread. */
public enum GroupRefusal {
    POOL_NOT_DECLARED("its pool is not declared"),
    GROUP_NOT_DECLARED("the declared set has no such group"),
    GROUP_ALREADY_FORMED("it is formed already; dissolve it first"),
    WRONG_MODEL_VERSION("its pool declares another model version"),
    WRONG_SIZE("the number of members differs from the pool's vms_per_replica"),
    WRONG_ZONE("the availability zone is not one that the pool or group may use"),
    ZONE_OUT("the availability zone is out of service"),
    MEMBER_REPEATED("a VM is listed twice"),
    MEMBER_IN_ANOTHER_GROUP("a VM belongs to another group"),
    STALE_FENCING_TOKEN("its fencing token is not larger than one that was issued before"),
    NOT_FORMED("it is not formed");

    private final String text;

    GroupRefusal(String text) {
        this.text = text;
    }

    /** Returns the reason code in snake_case. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the reason as a clause that ends the message of a refusal, for example {@code it is not formed}. */
    public String text() {
        return text;
    }

    /**
     * Returns the refusal as a sentence; {@code verb} is the participle of the refused action, for example {@code
     * formed}.
     */
    public String message(ObjectId group, String verb) {
        return group + " was not " + verb + ": " + text + " (" + code() + ")";
    }
}
