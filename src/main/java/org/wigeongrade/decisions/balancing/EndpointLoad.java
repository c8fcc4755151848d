package org.wigeongrade.decisions.balancing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * One entry node's knowledge of an endpoint: its properties, its load and its recent latency and failures.
 *
 * <p>Time is a parameter, on the monotonic clock. Not thread safe.
 */
public final class EndpointLoad {
    /** Weight of the newest observation in a moving average; about the last 12 responses count. */
    private static final double NEWEST_WEIGHT = 0.15;
    /** Time for which a failed endpoint is avoided; doubled for each further consecutive failure. */
    private static final long AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final int MAX_AVOID_DOUBLINGS = 4;
    /** Time constant by which an endpoint that gets no requests is believed to be as fast as the others again. */
    private static final double SLOWNESS_FADING_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final VmIncarnation vm;
    private final ServiceName service;
    private final String address;
    private final AvailabilityZone zone;
    private final Optional<ModelVersionName> model;
    private final int slots;
    private final double paceFactor;
    private final SendRestriction restriction;
    private long coldUntilNanos;
    private boolean suspect;
    private int inFlight;
    private int runningStreams;
    private int inFlightElsewhere;
    private int pendingPromptTokens;
    private int pendingPromptTokensElsewhere;
    private long lastProgressNanos;
    private long lastActiveNanos;
    private boolean progressedSinceReport;
    private boolean refusedSinceReport;
    private double slowness = 1;
    /** Fraction of the slowness that had faded when the oldest request in flight was sent; 0 once it has a response. */
    private double fadedWhenSent;

    private double failureRate;
    private int consecutiveFailures;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private final Deque<Long> sendsNanos = new ArrayDeque<>();

    public EndpointLoad(
            VmIncarnation vm,
            ServiceName service,
            String address,
            AvailabilityZone zone,
            Optional<ModelVersionName> model,
            int slots,
            double paceFactor,
            SendRestriction restriction,
            long coldUntilNanos,
            long nowNanos) {
        this.vm = vm;
        this.service = service;
        this.address = address;
        this.zone = zone;
        this.model = model;
        this.slots = slots;
        this.paceFactor = paceFactor;
        this.restriction = restriction;
        this.coldUntilNanos = coldUntilNanos;
        this.lastProgressNanos = nowNanos;
        this.lastActiveNanos = nowNanos;
    }

    public VmIncarnation vm() {
        return vm;
    }

    public ServiceName service() {
        return service;
    }

    public String address() {
        return address;
    }

    public AvailabilityZone zone() {
        return zone;
    }

    /** Returns the model that the endpoint serves as head of a group; empty for a plain endpoint. */
    public Optional<ModelVersionName> model() {
        return model;
    }

    /** Returns what the endpoint asked this node not to send to it. */
    public SendRestriction restriction() {
        return restriction;
    }

    public int slots() {
        return slots;
    }

    /** Sets the end of the cold start. */
    public void setColdUntil(long deadlineNanos) {
        coldUntilNanos = deadlineNanos;
    }

    /** Sets whether the leader suspects that a member of the group has failed. */
    public void setSuspect(boolean isSuspect) {
        suspect = isSuspect;
    }

    /**
     * Returns whether the leader suspects that a member of the group has failed, so that new requests should go
     * elsewhere.
     */
    public boolean isSuspect() {
        return suspect;
    }

    public boolean isCold(long nowNanos) {
        return nowNanos - coldUntilNanos < 0;
    }

    /**
     * Sets the number of requests that other entry nodes have in flight at the endpoint, and the prompt tokens of those
     * requests that wait for prefill.
     */
    public void setLoadFromOtherNodes(int requests, int promptTokens) {
        inFlightElsewhere = requests;
        pendingPromptTokensElsewhere = promptTokens;
    }

    /**
     * Returns the factor by which the group's position in the fabric multiplies its latencies; 1 if it has no effect.
     */
    public double paceFactor() {
        return paceFactor;
    }

    /** Returns the prompt tokens sent to the endpoint that wait for prefill, including those from other nodes. */
    public int pendingPromptTokens() {
        return pendingPromptTokens + pendingPromptTokensElsewhere;
    }

    /** Returns the prompt tokens sent by this node that wait for prefill. */
    public int ownPendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** Records that a prompt is sent now. */
    public void recordPromptSent(int promptTokens) {
        pendingPromptTokens += promptTokens;
    }

    /** Records that the prefill of a prompt has finished, or that its request ended before that. */
    public void recordPromptDone(int promptTokens) {
        pendingPromptTokens -= promptTokens;
    }

    /** Returns the number of requests in flight at the endpoint, including those of other entry nodes. */
    public int totalInFlight() {
        return inFlight + inFlightElsewhere;
    }

    public int inFlight() {
        return inFlight;
    }

    /** Records that a request is sent now. */
    public void recordSent(long nowNanos) {
        if (inFlight == 0) {
            lastProgressNanos = nowNanos;
            fadedWhenSent = faded(nowNanos);
        }
        inFlight++;
        lastActiveNanos = nowNanos;
        restriction.recordSent(nowNanos);
        sendsNanos.addLast(nowNanos);
        removeOldSends(nowNanos);
    }

    /** Records that the first event of a stream has arrived. */
    public void recordStreamStarted() {
        runningStreams++;
    }

    /** Records the end of a stream whose first event had arrived. */
    public void recordStreamEnded() {
        runningStreams--;
    }

    /** Returns the number of this node's streams whose first event has arrived and that have not ended. */
    public int runningStreams() {
        return runningStreams;
    }

    /** Records the end of a request. */
    public void recordEnded(long nowNanos) {
        inFlight--;
        lastActiveNanos = nowNanos;
    }

    /** Records that bytes of a response have arrived. */
    public void recordProgress(long nowNanos) {
        lastProgressNanos = nowNanos;
        progressedSinceReport = true;
    }

    /**
     * Updates the slowness from the measured and the predicted time of a response or event. The first response after a
     * pause counts for more if it is faster than the average, because the endpoint may have recovered meanwhile.
     */
    public void recordLatency(double tookMs, double predictedMs) {
        final double ratio = Math.max(0.5, Math.min(20, tookMs / Math.max(1, predictedMs)));
        final double weight = ratio < slowness ? Math.max(NEWEST_WEIGHT, fadedWhenSent) : NEWEST_WEIGHT;
        slowness += weight * (ratio - slowness);
        fadedWhenSent = 0;
    }

    /** Records that a response is complete; the endpoint is no longer avoided. */
    public void recordSuccess() {
        failureRate -= NEWEST_WEIGHT * failureRate;
        consecutiveFailures = 0;
        avoidUntilNanos = Long.MIN_VALUE;
    }

    /** Records that the endpoint failed or refused a request; it is avoided for a while. */
    public void recordFailure(long nowNanos) {
        failureRate += NEWEST_WEIGHT * (1 - failureRate);
        final int doublings = Math.min(consecutiveFailures, MAX_AVOID_DOUBLINGS);
        consecutiveFailures++;
        avoidUntilNanos = nowNanos + (AVOID_NANOS << doublings);
    }

    /** Records that the endpoint refused a connection, which also counts as a failure. */
    public void recordRefusedConnection(long nowNanos) {
        refusedSinceReport = true;
        recordFailure(nowNanos);
    }

    /** Forgets all failures, because they were not the endpoint's. */
    public void forgetFailures() {
        failureRate = 0;
        consecutiveFailures = 0;
        avoidUntilNanos = Long.MIN_VALUE;
        refusedSinceReport = false;
    }

    /** Returns whether the endpoint should get no requests now because it recently failed. */
    public boolean isAvoided(long nowNanos) {
        return avoidUntilNanos != Long.MIN_VALUE && nowNanos - avoidUntilNanos < 0;
    }

    /** Returns the moving average of the failure rate, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Returns the moving average of the measured time divided by the predicted time. */
    public double slowness() {
        return slowness;
    }

    /**
     * Returns by which factor the endpoint is believed to be slower than usual; 1 or more. Without requests nothing
     * corrects the average, so it is believed less as time passes, and the endpoint gets a request now and then.
     */
    public double slownessAgainst(double usualSlowness, long nowNanos) {
        return 1 + (1 - faded(nowNanos)) * Math.max(0, slowness / usualSlowness - 1);
    }

    private double faded(long nowNanos) {
        return inFlight > 0 ? 0 : 1 - Math.exp((lastActiveNanos - nowNanos) / SLOWNESS_FADING_NANOS);
    }

    /** Returns the time since the last bytes of a response arrived; 0 if this node has no requests in flight. */
    public long stalledNanos(long nowNanos) {
        return inFlight == 0 ? 0 : nowNanos - lastProgressNanos;
    }

    /** Returns the number of requests that this node sent to the endpoint within the last second. */
    public int sendsInLastSecond(long nowNanos) {
        removeOldSends(nowNanos);
        return sendsNanos.size();
    }

    /** Returns whether requests are in flight, or one was sent or ended within the given duration before now. */
    public boolean wasActiveWithin(long nanos, long nowNanos) {
        return inFlight > 0 || nowNanos - lastActiveNanos <= nanos;
    }

    /** Returns whether bytes have arrived since the last call, and resets this. */
    public boolean takeProgressed() {
        final boolean taken = progressedSinceReport;
        progressedSinceReport = false;
        return taken;
    }

    /** Returns whether a connection has been refused since the last call, and resets this. */
    public boolean takeRefusedConnection() {
        final boolean taken = refusedSinceReport;
        refusedSinceReport = false;
        return taken;
    }

    private void removeOldSends(long nowNanos) {
        while (!sendsNanos.isEmpty() && nowNanos - sendsNanos.peekFirst() >= SECOND_NANOS) {
            sendsNanos.removeFirst();
        }
    }
}
