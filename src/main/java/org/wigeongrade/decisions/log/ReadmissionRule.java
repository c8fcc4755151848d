package org.wigeongrade.decisions.log;

import java.util.Collection;
import java.util.Optional;

/**
 * Admits a configured node's new incarnation as a voter once it caught up.
 *
 * <p>What: removes the lost incarnation in one change and adds the new one in the next. Why: replacing it in a single
 * change would allow an old and a new quorum without a common voter. Stateless.
 */
final class ReadmissionRule {
    private ReadmissionRule() {}

    /** Returns the next membership, given the learners that hold every committed entry. */
    static Optional<Membership> next(Membership current, Collection<Member> caughtUp) {
        return caughtUp.stream()
                .filter(member -> !current.isVoter(member))
                .findFirst()
                .map(member -> step(current, member));
    }

    private static Membership step(Membership current, Member member) {
        boolean listed = current.incarnations().containsKey(member.name());
        return listed ? current.without(member.name()) : current.with(member);
    }
}
