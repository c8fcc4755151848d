package org.wigeongrade.nodes.log;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.log.CoreSettings;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.decisions.log.Membership;
import org.wigeongrade.decisions.log.RaftCore;
import org.wigeongrade.disk.LogStore;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;

/**
 * Runs one replica: one writer thread owns the core, the files and the state machine, and takes its inputs from a bounded
 * queue.
 *
 * <p>Invariants: inputs that wait together share one sync; after a failure of the disk or of the digest chain nothing
 * more is sent, stored or applied. Thread safe; no lock is held while the queue or a peer is waited for, so there is no
 * lock order to keep.
 */
public final class RaftReplicatedLog implements ReplicatedLog {
    private static final System.Logger LOGGER = System.getLogger(RaftReplicatedLog.class.getName());
    private static final int QUEUE_CAPACITY = 16_384;
    private static final int MAX_INPUTS_PER_SYNC = 1_024;
    private static final int MAX_UNCOMMITTED_ENTRIES = 4_096;
    private static final int MAX_COMMAND_BYTES = 1024 * 1024;
    private static final long STOP_TIMEOUT_MS = 5_000;
    private static final int TICKS_PER_HEARTBEAT = 5;

    /** What other threads see; replaced as a whole after each round of the writer thread. */
    private record Status(
            long term,
            Optional<NodeName> leader,
            long leaderSinceNanos,
            OptionalLong leaseDeadlineNanos,
            long appliedIndex,
            Membership membership,
            boolean voter) {}

    private sealed interface Input {}

    private record HandOver() implements Input {}

    private record Discovered(NodeName peer) implements Input {}

    private record Received(NodeName from, LogMessage message) implements Input {}

    private record Submitted(Bytes command, CompletableFuture<byte[]> future) implements Input {}

    private final CoreSettings settings;
    private final LogStore store;
    private final LogTransport transport;
    private final LongSupplier clock;
    private final RaftCore core;
    private final ReplicaWork work;
    private final PendingCommands pending;
    private final Consumer<RuntimeException> onFailure;
    private final BlockingQueue<Input> inputs = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
    private final ExecutorService callbacks;
    private final Thread writer;
    private final long tickNanos;
    private long nextTickNanos;
    private long leadTerm;
    private volatile Status status;
    private volatile boolean stopping;
    /** Set before the last inputs are taken out, so that an input offered later takes itself out. */
    private volatile boolean ended;

    /** Makes a replica that is not started yet; {@code transport} must hand incoming messages to {@link #receive}. */
    public RaftReplicatedLog(
            CoreSettings settings,
            LogStore store,
            LogTransport transport,
            ReplicatedStateMachine machine,
            LongSupplier clock,
            RandomGenerator random,
            long compactAfterEntries,
            Consumer<RuntimeException> onFailure) {
        this.settings = settings;
        this.store = store;
        this.transport = transport;
        this.clock = clock;
        this.onFailure = onFailure;
        this.tickNanos = settings.timings().heartbeatNanos() / TICKS_PER_HEARTBEAT;
        this.nextTickNanos = clock.getAsLong();
        this.core = new RaftCore(settings, store.recovered(), random, nextTickNanos);
        this.callbacks = Executors.newSingleThreadExecutor(task -> daemon(task, "log-callbacks"));
        this.pending = new PendingCommands(callbacks);
        this.work = new ReplicaWork(core, store, transport, machine, pending, compactAfterEntries);
        store.recovered().snapshot().ifPresent(work::restore);
        this.status = new Status(
                core.term(),
                Optional.empty(),
                nextTickNanos,
                OptionalLong.empty(),
                core.appliedIndex(),
                core.membership(),
                core.isVoter());
        this.writer = daemon(this::run, "log-writer");
    }

    /**
     * Opens the data folder, listens and starts the replica. A folder that lost something is set aside and a new
     * incarnation starts as a learner.
     */
    public static RaftReplicatedLog open(
            LogSettings settings, ReplicatedStateMachine machine, Consumer<RuntimeException> onFailure) {
        return LogOpening.open(settings, machine, System::nanoTime, onFailure);
    }

    /** Opens as {@link #open(LogSettings, ReplicatedStateMachine, Consumer)} does, with a clock of its own. */
    public static RaftReplicatedLog open(
            LogSettings settings,
            ReplicatedStateMachine machine,
            LongSupplier clock,
            Consumer<RuntimeException> onFailure) {
        return LogOpening.open(settings, machine, clock, onFailure);
    }

    /** Starts the writer thread. */
    public void start() {
        writer.start();
    }

    /** Takes a message from a peer; drops it if too many wait. Never blocks. */
    public void receive(NodeName from, LogMessage message) {
        boolean taken = !stopping && inputs.offer(new Received(from, message));
        if (!taken && !stopping) {
            LOGGER.log(Level.WARNING, "log message from {0} dropped: {1} inputs wait", from, QUEUE_CAPACITY);
        }
    }

    @Override
    public CompletableFuture<byte[]> submit(byte[] command) {
        if (command.length > MAX_COMMAND_BYTES) {
            return CompletableFuture.failedFuture(LogRefusals.tooLarge(command.length, MAX_COMMAND_BYTES));
        }
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        Submitted submitted = new Submitted(Bytes.wrap(command.clone()), future);
        boolean taken = !stopping && inputs.offer(submitted);
        boolean leftBehind = taken && ended && inputs.remove(submitted);
        if (!taken || leftBehind) {
            future.completeExceptionally(unavailable());
        }
        return future;
    }

    @Override
    public boolean leadsWithLease() {
        OptionalLong deadlineNanos = status.leaseDeadlineNanos();
        return !stopping && deadlineNanos.isPresent() && clock.getAsLong() - deadlineNanos.getAsLong() < 0;
    }

    @Override
    public Optional<NodeName> leader() {
        return status.leader();
    }

    @Override
    public long term() {
        return status.term();
    }

    @Override
    public long leaderSinceNanos() {
        return status.leaderSinceNanos();
    }

    @Override
    public long appliedIndex() {
        return status.appliedIndex();
    }

    /** Takes the news that a control VM exists; a leader then sends the log to it. Never blocks. */
    public void discover(NodeName peer) {
        if (stopping || !inputs.offer(new Discovered(peer))) {
            LOGGER.log(Level.WARNING, "control VM {0} not taken up yet: {1} inputs wait", peer, inputs.size());
        }
    }

    /** Returns the latest voters known here, each with the incarnation of its data folder. */
    public Membership membership() {
        return status.membership();
    }

    /** Returns whether this replica votes; if not, it is a learner that catches up. */
    public boolean isVoter() {
        return status.voter();
    }

    private void run() {
        try {
            while (!stopping) {
                round();
            }
            giveUpLead();
            work.run(clock);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "the replicated log stops on this VM: " + e.getMessage(), e);
            stopping = true;
            onFailure.accept(e);
        } catch (Error e) {
            stopping = true;
            onFailure.accept(new WigeongradeException(ErrorKind.INTERNAL, "the log's writer thread ended: " + e, e));
            throw e;
        } finally {
            end();
        }
    }

    private void round() throws InterruptedException {
        long waitNanos = Math.max(0, nextTickNanos - clock.getAsLong());
        Input first = inputs.poll(waitNanos, TimeUnit.NANOSECONDS);
        List<Input> batch = new ArrayList<>();
        if (first != null) {
            batch.add(first);
            inputs.drainTo(batch, MAX_INPUTS_PER_SYNC);
        }
        for (Input input : batch) {
            take(input);
        }
        long nowNanos = clock.getAsLong();
        if (nowNanos - nextTickNanos >= 0) {
            core.tick(nowNanos);
            nextTickNanos = nowNanos + tickNanos;
        }
        work.run(clock);
        publish();
    }

    private void take(Input input) {
        if (input instanceof Received received) {
            core.receive(received.from(), received.message(), clock.getAsLong());
        } else if (input instanceof Submitted submitted) {
            propose(submitted);
        } else if (input instanceof Discovered discovered) {
            core.discover(discovered.peer());
        } else if (input instanceof HandOver) {
            giveUpLead();
        }
    }

    /** Gives up the lead; the lease is seen to have ended before the successor is told to stand. */
    private void giveUpLead() {
        core.handOver(clock.getAsLong());
        publish();
    }

    private void propose(Submitted submitted) {
        boolean backedUp = core.last().index() - core.commitIndex() >= MAX_UNCOMMITTED_ENTRIES;
        OptionalLong index = backedUp ? OptionalLong.empty() : core.propose(submitted.command());
        if (index.isEmpty()) {
            pending.fail(submitted.future(), backedUp ? LogRefusals.backedUp(MAX_UNCOMMITTED_ENTRIES) : unavailable());
            return;
        }
        leadTerm = core.term();
        pending.add(index.getAsLong(), leadTerm, submitted.future());
    }

    private void publish() {
        boolean lostLead = core.leaderSinceNanos().isEmpty() || core.term() != leadTerm;
        if (lostLead) {
            pending.failAll();
        }
        OptionalLong sinceNanos = core.leaderSinceNanos();
        status = new Status(
                core.term(),
                core.leader(),
                sinceNanos.orElse(status.leaderSinceNanos()),
                core.leaseDeadlineNanos(clock.getAsLong()),
                core.appliedIndex(),
                core.membership(),
                core.isVoter());
        pending.release();
    }

    private void end() {
        status = new Status(
                status.term(),
                Optional.empty(),
                status.leaderSinceNanos(),
                OptionalLong.empty(),
                status.appliedIndex(),
                status.membership(),
                status.voter());
        pending.failAll();
        ended = true;
        List<Input> rest = new ArrayList<>();
        inputs.drainTo(rest);
        for (Input input : rest) {
            if (input instanceof Submitted submitted) {
                pending.fail(submitted.future(), unavailable());
            }
        }
        pending.release();
        transport.close();
        store.close();
    }

    private WigeongradeException unavailable() {
        return LogRefusals.notLeading(settings.self(), status.leader());
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Gives the lead to the voter that holds most, if this replica leads; returns without waiting for it. */
    public void handOver() {
        boolean taken = inputs.offer(new HandOver());
        if (!taken) {
            LOGGER.log(Level.WARNING, "lead not handed over: {0} inputs wait", QUEUE_CAPACITY);
        }
    }

    @Override
    public void close() {
        stopping = true;
        try {
            writer.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        callbacks.shutdown();
    }
}
