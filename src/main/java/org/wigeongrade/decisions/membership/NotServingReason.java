package org.wigeongrade.decisions.membership;

import java.util.Locale;
import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Reason why a group may not serve. For each member, the constants are checked in the order of their declaration and
 * the first that applies is reported. Immutable; safe for use from any thread.
 */
public enum NotServingReason {
    /** The member has no announcement with a valid lease, so the group may be incomplete. */
    MEMBER_MISSING("has no valid announcement lease") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement.isEmpty();
        }
    },
    /** The member's process has restarted and no longer holds its part of the model. */
    MEMBER_RESTARTED("has restarted") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement
                    .filter(announced -> announced.vm().equals(member))
                    .isEmpty();
        }
    },
    /** The member does not follow the order to join this group yet. */
    ORDER_NOT_FOLLOWED("does not follow the order to join the group yet") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement
                    .filter(announced -> announced.follows(group.group(), group.fencingToken()))
                    .isEmpty();
        }
    },
    /** The member is loading the model weights. */
    MEMBER_LOADING("is loading") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement
                    .filter(announced -> announced.state() == EndpointState.LOADING)
                    .isPresent();
        }
    },
    /** The member finishes its requests and takes no new ones. */
    MEMBER_LEAVING("is leaving") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement
                    .filter(announced -> announced.state() == EndpointState.LEAVING)
                    .isPresent();
        }
    },
    /** The member announces a state in which it does not serve. */
    MEMBER_NOT_SERVING("announces a state in which it does not serve") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement.filter(announced -> announced.state().serves()).isEmpty();
        }
    },
    /** The member has loaded another model version than the group's. */
    WRONG_MODEL_VERSION("has loaded another model version") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement
                    .flatMap(Announcement::modelVersion)
                    .filter(group.modelVersion()::equals)
                    .isEmpty();
        }
    },
    /** Operators took the group's availability zone out of service. Checked before any member. */
    ZONE_OUT("is in an availability zone that is out of service") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return false;
        }
    };

    private final String text;

    NotServingReason(String text) {
        this.text = text;
    }

    /** Returns the reason code in snake_case. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the reason as the rest of a sentence whose subject is the member. */
    public String text() {
        return text;
    }

    abstract boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement);
}
