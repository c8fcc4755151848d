package org.wigeongrade.decisions.log;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Chooses the next membership change, so that caught-up learners become voters until there are as many voters as the
 * policy wants.
 *
 * <p>A replacement takes two changes: the first removes the lost incarnation, or a voter that has been silent for too
 * long, and the next adds the learner. Replacing a voter in a single change could leave an old and a new quorum without
 * a common voter. Stateless.
 */
final class PromotionRule {
    private PromotionRule() {}

    /**
     * Returns the membership to propose next; empty if none is needed.
     *
     * @param caughtUp nodes that hold every committed entry
     * @param silent voters that have not replied for longer than the policy allows
     */
    static Optional<Membership> next(
            Membership current, Collection<Member> caughtUp, Collection<NodeName> silent, VoterPolicy policy) {
        return caughtUp.stream()
                .filter(member -> !current.isVoter(member))
                .sorted(Comparator.comparing(member -> !hasVoterNamed(current, member)))
                .findFirst()
                .flatMap(member -> nextChange(current, member, silent, policy));
    }

    private static Optional<Membership> nextChange(
            Membership current, Member member, Collection<NodeName> silent, VoterPolicy policy) {
        if (hasVoterNamed(current, member)) {
            return Optional.of(current.without(member.name()));
        }
        if (current.incarnations().size() < policy.wantedVoters()) {
            return Optional.of(current.with(member));
        }
        return silent.stream().findFirst().map(current::without);
    }

    private static boolean hasVoterNamed(Membership current, Member member) {
        return current.incarnations().containsKey(member.name());
    }
}
