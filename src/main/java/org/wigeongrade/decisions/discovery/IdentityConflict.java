package org.wigeongrade.decisions.discovery;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * A heartbeat that contradicts known VMs: another process of its name, or another VM at its address. It may come from a
 * process that replaced them, from one that ended before them, or from another writer. Only the processes at the addresses
 * can tell. Immutable; safe for use from any thread.
 *
 * @param rivals the VMs that the heartbeat contradicts; never empty
 */
public record IdentityConflict(VmHeartbeat heartbeat, ImmutableList<VmRecord> rivals) {
    /** Returns the known process of the heartbeat's name if it is at another address, so that it can be asked as well. */
    public Optional<VmRecord> rivalElsewhere() {
        return rivals.stream()
                .filter(this::hasSameName)
                .filter(rival -> !rival.heartbeat().address().equals(heartbeat.address()))
                .findFirst();
    }

    /**
     * Returns whether a VM of another name states the same start at the address, as a second registration of one process does:
     * then only the name tells them apart.
     */
    public boolean sharesStart() {
        return rivals.stream()
                .filter(rival -> !hasSameName(rival))
                .anyMatch(rival -> rival.vm().incarnation() == heartbeat.vm().incarnation());
    }

    /**
     * Returns what the responses show.
     *
     * @param own response at the address of the heartbeat to the question whether its VM is there
     * @param elsewhere response of {@link #rivalElsewhere} to the question whether it is still there
     * @param startMatters whether processes of one name have to be told apart, as those of engines, whose groups end with the
     *     process
     */
    public ConflictVerdict judge(IdentityResponse own, Optional<IdentityResponse> elsewhere, boolean startMatters) {
        final boolean rivalIsThere = rivalElsewhere()
                .filter(rival -> elsewhere.orElseThrow().isFrom(rival.vm()))
                .isPresent();
        final boolean contradicted =
                own.excludes(heartbeat.vm()) || (heartbeat.draining() && own.isFrom(heartbeat.vm()) && own.staying());
        if (rivalIsThere || contradicted) {
            return ConflictVerdict.REFUTED;
        }
        final boolean started = own.states(heartbeat.vm()) && !sharesStart();
        if (!started && rivals.stream().anyMatch(this::hasSameNameAndOtherService)) {
            return ConflictVerdict.OTHER_SERVICE;
        }
        if (own.kind() == IdentityResponse.Kind.NONE
                || (sharesStart() && own.incarnation().isPresent())) {
            return ConflictVerdict.UNDECIDED;
        }
        if (started || isNewProcess(own)) {
            return ConflictVerdict.STARTED;
        }
        if (rivals.stream().noneMatch(this::hasSameName)) {
            return ConflictVerdict.NAMED;
        }
        return startMatters ? ConflictVerdict.START_UNKNOWN : ConflictVerdict.LATEST;
    }

    /**
     * Returns whether the process did not state its start, but cannot be the known one of its name, which was in a group. One
     * that is still joining is left out, since engines report their orders late.
     */
    private boolean isNewProcess(IdentityResponse own) {
        return own.incarnation().isEmpty()
                && own.statesNoOrders()
                && rivals.stream()
                        .filter(this::hasSameName)
                        .flatMap(rival -> rival.heartbeat().group().stream())
                        .anyMatch(group -> group.state() != GroupState.JOINING);
    }

    private boolean hasSameName(VmRecord rival) {
        return rival.vm().vm().equals(heartbeat.vm().vm());
    }

    private boolean hasSameNameAndOtherService(VmRecord rival) {
        return hasSameName(rival) && !rival.heartbeat().service().equals(heartbeat.service());
    }
}
