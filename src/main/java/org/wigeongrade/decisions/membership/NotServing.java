package org.wigeongrade.decisions.membership;

import java.util.Locale;
import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Why a group may not serve. The constants are checked in their order for each member and the first that applies is
 * given. Immutable; safe for use from any thread.
 */
public enum NotServing {
    /** No announcement of the member has a valid lease, so the group may not be whole. */
    MEMBER_MISSING("has no valid announcement lease") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement.isEmpty();
        }
    },
    /** The member's process restarted and holds no part of the model any more. */
    MEMBER_RESTARTED("has restarted") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement.filter(said -> said.vm().equals(member)).isEmpty();
        }
    },
    /** The member does not follow the order into this group yet. */
    ORDER_NOT_FOLLOWED("does not follow the order to join the group yet") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement
                    .filter(said -> said.follows(group.group(), group.fencingToken()))
                    .isEmpty();
        }
    },
    /** The member reads its weights. */
    MEMBER_LOADING("is loading") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement
                    .filter(said -> said.state() == EndpointState.LOADING)
                    .isPresent();
        }
    },
    /** The member ends its requests and takes no new ones. */
    MEMBER_LEAVING("is leaving") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement
                    .filter(said -> said.state() == EndpointState.LEAVING)
                    .isPresent();
        }
    },
    /** The member announces a state in which it does not serve. */
    MEMBER_NOT_SERVING("announces a state in which it does not serve") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return announcement.filter(said -> said.state().serves()).isEmpty();
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
    /** Operators took the group's availability zone out; decided before any member is looked at. */
    ZONE_OUT("is in an availability zone that is out of service") {
        @Override
        boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement) {
            return false;
        }
    };

    private final String text;

    NotServing(String text) {
        this.text = text;
    }

    /** Returns the reason code in snake_case. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the reason as the end of a sentence that begins with the member. */
    public String text() {
        return text;
    }

    abstract boolean applies(FormedGroup group, VmIncarnation member, Optional<Announcement> announcement);
}
