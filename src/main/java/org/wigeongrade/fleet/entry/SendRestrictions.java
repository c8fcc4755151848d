package org.wigeongrade.fleet.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeongrade.decisions.balancing.SendRestriction;
import org.wigeongrade.ids.VmIncarnation;

/**
 * The restrictions of all endpoint incarnations that this node has seen. They are kept while an endpoint is not in the
 * view, because a later view may list it again.
 *
 * <p>Invariant: holds at most {@link #MAX_REMEMBERED} incarnations; those without a restriction, then the oldest, are
 * forgotten first. Used on the event loop only.
 */
final class SendRestrictions {
    /** Several times the endpoints of the largest fleet, and those that it loses in a day. */
    static final int MAX_REMEMBERED = 8_192;

    private final Map<VmIncarnation, SendRestriction> byVm = new LinkedHashMap<>();

    /** Returns the restriction of an incarnation; the same object each time. */
    SendRestriction of(VmIncarnation vm, long nowNanos) {
        final SendRestriction known = byVm.get(vm);
        if (known != null) {
            return known;
        }
        if (byVm.size() >= MAX_REMEMBERED) {
            byVm.values().removeIf(restriction -> restriction.hasEnded(nowNanos));
        }
        if (byVm.size() >= MAX_REMEMBERED) {
            final Iterator<SendRestriction> oldest = byVm.values().iterator();
            oldest.next();
            oldest.remove();
        }
        final SendRestriction added = new SendRestriction();
        byVm.put(vm, added);
        return added;
    }
}
