package org.wigeongrade.nodes.entry;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.wigeongrade.clock.LeaseClock;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.limits.HeldShares;
import org.wigeongrade.decisions.limits.OrganisationAdmission;
import org.wigeongrade.decisions.limits.OrganisationUsage;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.outcomes.SuspectTable;
import org.wigeongrade.decisions.routing.PrefixIndex;
import org.wigeongrade.decisions.routing.RetryBudget;
import org.wigeongrade.decisions.routing.UnreachableEndpoints;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;

/**
 * The state that the parts of an entry VM share.
 *
 * <p>Invariant: {@code view} is only ever replaced by a newer one. Thread safe: each table has its own lock, and no
 * method here holds two locks, so there is no lock order between them.
 */
public final class EntryRole {
    private static final int MAX_BLOCKS_PER_ENGINE = 20_000;
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double RETRY_RESERVE = 20;
    private static final long ORGANISATION_ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final NodeName self;
    private final AvailabilityZone zone;
    private final String callerAddress;
    private final AtomicReference<FleetView> view;
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final HeldShares shares = new HeldShares();
    private final OrganisationAdmission admission = new OrganisationAdmission(shares);
    private final OrganisationUsage organisationUsage = new OrganisationUsage(ORGANISATION_ACTIVE_NANOS);
    private final SuspectTable suspects;
    private final PrefixIndex prefixIndex = new PrefixIndex(MAX_BLOCKS_PER_ENGINE);
    private final RetryBudget retryBudget = new RetryBudget(RETRIES_PER_REQUEST, RETRY_RESERVE);
    private final UnreachableEndpoints unreachable = new UnreachableEndpoints(UNREACHABLE_NANOS);
    private final EndpointLinks links = new EndpointLinks();
    private final AnnouncementInbox inbox = new AnnouncementInbox();
    private final DecisionRecords decisions = new DecisionRecords();
    private final WaitClock waitClock;
    private final LeaseClock leaseClock;

    /**
     * {@code callerAddress} is the address, as {@code ip:port}, at which other entry VMs reach the API of this VM for
     * callers.
     */
    public EntryRole(
            NodeName self,
            AvailabilityZone zone,
            String callerAddress,
            long pullIntervalMs,
            WaitClock waitClock,
            LeaseClock leaseClock) {
        this.self = self;
        this.zone = zone;
        this.callerAddress = callerAddress;
        this.waitClock = waitClock;
        this.leaseClock = leaseClock;
        this.view = new AtomicReference<>(FleetView.empty(leaseClock.now()));
        this.suspects = new SuspectTable(self, pullIntervalMs);
    }

    public NodeName self() {
        return self;
    }

    public AvailabilityZone zone() {
        return zone;
    }

    /** Returns the address, as {@code ip:port}, to which other entry VMs may forward callers' requests. */
    public String callerAddress() {
        return callerAddress;
    }

    public FleetView view() {
        return view.get();
    }

    /** Replaces the view; called only by {@link ViewPuller}. */
    void setView(FleetView next) {
        view.set(next);
    }

    public HeldShares shares() {
        return shares;
    }

    public UnreachableEndpoints unreachable() {
        return unreachable;
    }

    public EndpointLinks links() {
        return links;
    }

    public OrganisationAdmission admission() {
        return admission;
    }

    public OrganisationUsage organisationUsage() {
        return organisationUsage;
    }

    public SuspectTable suspects() {
        return suspects;
    }

    public PrefixIndex prefixIndex() {
        return prefixIndex;
    }

    public RetryBudget retryBudget() {
        return retryBudget;
    }

    public AnnouncementInbox inbox() {
        return inbox;
    }

    public DecisionRecords decisions() {
        return decisions;
    }

    /** Returns the time on the wait clock, in nanoseconds. */
    public long nowNanos() {
        return waitClock.nowNanos();
    }

    /** Returns the time on the lease clock. */
    public LeaseTime leaseNow() {
        return leaseClock.now();
    }

    /** Returns whether the view lease is valid, so that new work may be sent according to the view. */
    public boolean hasViewLease() {
        return view().hasLease(leaseNow());
    }

    /** Makes the health check fail from now on; requests that still arrive are served. */
    public void leave() {
        leaving.set(true);
    }

    /** Makes the health check fail and refuses new requests from now on. */
    public void stop() {
        leaving.set(true);
        stopping.set(true);
    }

    public boolean isStopping() {
        return stopping.get();
    }

    /** Returns whether the load balancer may send callers to this VM. */
    public boolean isHealthy() {
        final boolean canServe =
                links.state().sendsDirectly() || !view().relayAddresses().isEmpty();
        return !leaving.get() && hasViewLease() && canServe;
    }

    /** Drops the slots at an endpoint that showed a sign of being cold, as observed by this VM or by a peer. */
    public void coldSign(EndpointId endpoint) {
        shares.applyColdSign(ShareKey.endpointSlots(endpoint));
    }
}
