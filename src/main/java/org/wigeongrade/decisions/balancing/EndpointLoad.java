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
 * One endpoint as one entry node sees it: what it is, what runs there, and how it answered of late.
 *
 * <p>Time is a parameter, on the monotonic clock. Not thread safe.
 */
public final class EndpointLoad {
    /** Weight of the newest observation in a moving average; about the last dozen answers count. */
    private static final double NEWEST_WEIGHT = 0.15;
    /** An endpoint that failed is avoided for this long, doubled for each failure in a row. */
    private static final long AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final int MAX_AVOID_DOUBLINGS = 4;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final VmIncarnation vm;
    private final ServiceName service;
    private final String address;
    private final AvailabilityZone zone;
    private final Optional<ModelVersionName> model;
    private final int slots;
    private final double paceFactor;
    private long coldUntilNanos;
    private boolean suspect;
    private int inFlight;
    private int writing;
    private int inFlightElsewhere;
    private int unreadTokens;
    private int unreadTokensElsewhere;
    private long progressNanos;
    private long activeNanos;
    private boolean progressedSinceReport;
    private boolean refusedSinceReport;
    private double slowness = 1;
    private double failureRate;
    private int failuresInRow;
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
            long coldUntilNanos,
            long nowNanos) {
        this.vm = vm;
        this.service = service;
        this.address = address;
        this.zone = zone;
        this.model = model;
        this.slots = slots;
        this.paceFactor = paceFactor;
        this.coldUntilNanos = coldUntilNanos;
        this.progressNanos = nowNanos;
        this.activeNanos = nowNanos;
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

    /** Returns the model that the endpoint serves as the head of a group; empty for a plain endpoint. */
    public Optional<ModelVersionName> model() {
        return model;
    }

    public int slots() {
        return slots;
    }

    /** Takes the news of when the cold start ends. */
    public void coldUntil(long deadlineNanos) {
        coldUntilNanos = deadlineNanos;
    }

    /** Takes the news of whether the leader doubts that every member of the group is there. */
    public void suspected(boolean isSuspect) {
        suspect = isSuspect;
    }

    /** Returns whether new requests should go elsewhere, since the leader doubts that the group is whole. */
    public boolean isSuspect() {
        return suspect;
    }

    public boolean isCold(long nowNanos) {
        return nowNanos - coldUntilNanos < 0;
    }

    /** Takes the requests that other entry nodes have at the endpoint, and the prompt tokens not read of these. */
    public void elsewhere(int requests, int promptTokens) {
        inFlightElsewhere = requests;
        unreadTokensElsewhere = promptTokens;
    }

    /** Returns the factor on the group's times that comes from its place in the fabric; 1 if it has none. */
    public double paceFactor() {
        return paceFactor;
    }

    /** Returns the prompt tokens that were sent to the endpoint and are not read yet, those of other nodes included. */
    public int unreadTokens() {
        return unreadTokens + unreadTokensElsewhere;
    }

    /** Returns the prompt tokens that this node sent and that are not read yet. */
    public int ownUnreadTokens() {
        return unreadTokens;
    }

    /** Counts a prompt that is sent now. */
    public void reads(int promptTokens) {
        unreadTokens += promptTokens;
    }

    /** Counts a prompt that was read, or whose request ended before. */
    public void hasRead(int promptTokens) {
        unreadTokens -= promptTokens;
    }

    /** Returns the requests at the endpoint, those of other entry nodes included. */
    public int running() {
        return inFlight + inFlightElsewhere;
    }

    public int inFlight() {
        return inFlight;
    }

    /** Counts a request that is sent now. */
    public void sent(long nowNanos) {
        if (inFlight == 0) {
            progressNanos = nowNanos;
        }
        inFlight++;
        activeNanos = nowNanos;
        sendsNanos.addLast(nowNanos);
        forgetSends(nowNanos);
    }

    /** Counts a stream whose first event came. */
    public void beganWriting() {
        writing++;
    }

    /** Counts the end of a stream whose first event had come. */
    public void endedWriting() {
        writing--;
    }

    /** Returns the streams of this node that had their first event and have not ended. */
    public int writing() {
        return writing;
    }

    /** Counts the end of a request. */
    public void ended(long nowNanos) {
        inFlight--;
        activeNanos = nowNanos;
    }

    /** Takes the news that bytes of an answer came. */
    public void progressed(long nowNanos) {
        progressNanos = nowNanos;
        progressedSinceReport = true;
    }

    /** Takes the time that an answer or event took against the predicted one. */
    public void observed(double tookMs, double predictedMs) {
        final double ratio = Math.max(0.5, Math.min(20, tookMs / Math.max(1, predictedMs)));
        slowness += NEWEST_WEIGHT * (ratio - slowness);
    }

    /** Takes the news that an answer was whole. */
    public void succeeded() {
        failureRate -= NEWEST_WEIGHT * failureRate;
        failuresInRow = 0;
        avoidUntilNanos = Long.MIN_VALUE;
    }

    /** Takes the news that the endpoint failed or refused a request; it is avoided for a while. */
    public void failed(long nowNanos) {
        failureRate += NEWEST_WEIGHT * (1 - failureRate);
        final int doublings = Math.min(failuresInRow, MAX_AVOID_DOUBLINGS);
        failuresInRow++;
        avoidUntilNanos = nowNanos + (AVOID_NANOS << doublings);
    }

    /** Takes the news that the endpoint refused a connection. */
    public void refusedConnection(long nowNanos) {
        refusedSinceReport = true;
        failed(nowNanos);
    }

    /** Returns whether the endpoint should get nothing now because it failed of late. */
    public boolean isAvoided(long nowNanos) {
        return avoidUntilNanos != Long.MIN_VALUE && nowNanos - avoidUntilNanos < 0;
    }

    /** Returns the part of the latest answers that failed, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Returns how many times longer than predicted the endpoint takes. */
    public double slowness() {
        return slowness;
    }

    /** Returns the time since bytes of an answer came, while requests are here; 0 if there are none. */
    public long stalledNanos(long nowNanos) {
        return inFlight == 0 ? 0 : nowNanos - progressNanos;
    }

    /** Returns the requests that were sent here within the last second. */
    public int sendsInLastSecond(long nowNanos) {
        forgetSends(nowNanos);
        return sendsNanos.size();
    }

    /** Returns whether anything happened here within the time before now. */
    public boolean wasActiveWithin(long nanos, long nowNanos) {
        return inFlight > 0 || nowNanos - activeNanos <= nanos;
    }

    /** Returns whether bytes came since the last call. */
    public boolean takeProgressed() {
        final boolean taken = progressedSinceReport;
        progressedSinceReport = false;
        return taken;
    }

    /** Returns whether a connection was refused since the last call. */
    public boolean takeRefusedConnection() {
        final boolean taken = refusedSinceReport;
        refusedSinceReport = false;
        return taken;
    }

    private void forgetSends(long nowNanos) {
        while (!sendsNanos.isEmpty() && nowNanos - sendsNanos.peekFirst() >= SECOND_NANOS) {
            sendsNanos.removeFirst();
        }
    }
}
