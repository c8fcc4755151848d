package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.outcomes.ReportedLoss;
import org.wigeongrade.decisions.reachability.LinkState;
import org.wigeongrade.fleet.thrift.CrashRecord;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.Metrics;

/**
 * The lost requests that this node reports to the leader, which decides whether endpoints crashed. Used on the event loop
 * only.
 *
 * <p>Invariants: a loss is reported whatever this node believes of its links, and the report says what it believed; it is
 * kept until a leader has it, and then for a later leader, which knows nothing of it. The number of losses is limited, and
 * the oldest are given up first, those that a leader has before others.
 */
final class CrashReports {
    /** Losses that wait for a leader; several times what this node has in flight. */
    static final int MAX_UNREPORTED = 1_024;
    /** Losses that are kept for a later leader. */
    private static final int MAX_REPORTED = 512;
    /** Time for which a loss matters to a leader. */
    private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final EventLog events;
    private final Metrics metrics;
    /** In the order in which they occurred. */
    private final Deque<ReportedLoss> unreported = new ArrayDeque<>();
    /** Sent with the last pull, which has had no reply yet. */
    private ImmutableList<ReportedLoss> sent = ImmutableList.of();

    private final Deque<ReportedLoss> reported = new ArrayDeque<>();

    CrashReports(EventLog events, Metrics metrics) {
        this.events = events;
        this.metrics = metrics;
    }

    void add(ReportedLoss loss) {
        unreported.addLast(loss);
        int dropped = 0;
        while (unreported.size() + sent.size() > MAX_UNREPORTED) {
            if (sent.isEmpty()) {
                unreported.removeFirst();
            } else {
                sent = sent.subList(1, sent.size());
            }
            dropped++;
        }
        if (dropped > 0) {
            metrics.countLostReportsDropped(dropped);
            events.write(LogEvent.CRASH_REPORTS_DROPPED, dropped);
        }
    }

    /** Marks the losses that no leader has as possibly caused by this node's links. */
    void doubtUnreported() {
        final ImmutableList<ReportedLoss> doubted =
                unreported.stream().map(ReportedLoss::asDoubted).collect(ImmutableList.toImmutableList());
        unreported.clear();
        unreported.addAll(doubted);
    }

    /** Returns the losses for the next pull; none while the probes of this node's links have not decided. */
    ImmutableList<CrashRecord> next(LinkState state, long nowNanos) {
        if (state != LinkState.IN_DOUBT) {
            sent = ImmutableList.<ReportedLoss>builder()
                    .addAll(sent)
                    .addAll(unreported)
                    .build();
            unreported.clear();
        }
        return sent.stream().map(loss -> encode(loss, nowNanos)).collect(ImmutableList.toImmutableList());
    }

    /** Records that the leader has the losses of the last pull. */
    void confirmSent(long nowNanos) {
        reported.addAll(sent);
        sent = ImmutableList.of();
        while (!reported.isEmpty()
                && (reported.size() > MAX_REPORTED
                        || nowNanos - reported.peekFirst().lostNanos() > KEEP_NANOS)) {
            reported.removeFirst();
        }
    }

    /** Reports everything again, because another leader has begun. */
    void repeatForNewLeader() {
        sent = ImmutableList.<ReportedLoss>builder()
                .addAll(reported)
                .addAll(sent)
                .build();
        reported.clear();
    }

    private static CrashRecord encode(ReportedLoss loss, long nowNanos) {
        return new CrashRecord(
                        loss.requestDigest(),
                        loss.endpoint().endpoint().value(),
                        loss.endpoint().incarnation())
                .setPromptParts(
                        loss.promptParts().stream().map(PromptPartId::value).toList())
                .setAgeMs(TimeUnit.NANOSECONDS.toMillis(nowNanos - loss.lostNanos()))
                .setLinksDoubted(loss.linksDoubted());
    }
}
