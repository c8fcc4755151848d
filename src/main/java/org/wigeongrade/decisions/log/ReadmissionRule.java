package org.wigeongrade.decisions.log;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Admits learners that caught up as voters, until there are as many as the policy wants.
 *
 * <p>What: removes a lost incarnation, or a voter that was silent for long, in one change and adds the learner in the
 * next. Why: replacing a voter in a single change would allow an old and a new quorum without a common voter. Stateless.
 */
final class ReadmissionRule {
    private ReadmissionRule() {}

    /**
     * Returns the next membership.
     *
     * @param caughtUp nodes that hold every committed entry
     * @param silent voters that did not answer for longer than the policy allows
     */
    static Optional<Membership> next(
            Membership current, Collection<Member> caughtUp, Collection<NodeName> silent, VoterPolicy policy) {
        return caughtUp.stream()
                .filter(member -> !current.isVoter(member))
                .sorted(Comparator.comparing(member -> !isListed(current, member)))
                .findFirst()
                .flatMap(member -> step(current, member, silent, policy));
    }

    private static Optional<Membership> step(
            Membership current, Member member, Collection<NodeName> silent, VoterPolicy policy) {
        if (isListed(current, member)) {
            return Optional.of(current.without(member.name()));
        }
        if (current.incarnations().size() < policy.wantedVoters()) {
            return Optional.of(current.with(member));
        }
        return silent.stream().findFirst().map(current::without);
    }

    private static boolean isListed(Membership current, Member member) {
        return current.incarnations().containsKey(member.name());
    }
}
