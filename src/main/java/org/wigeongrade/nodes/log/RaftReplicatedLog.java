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
import java.util.random.RandomGenerator;
import org.wigeongrade.clock.LeaseClock;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.log.CoreSettings;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.decisions.log.Membership;
import org.wigeongrade.decisions.log.RaftCore;
import org.wigeongrade.decisions.log.Role;
import org.wigeongrade.disk.LogStore;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;

/**
 * Runs one replica. A single writer thread owns the Raft core, the files and the state machine, and takes its inputs
 * from a bounded queue.
 *
 * <p>Invariants: inputs that wait in the queue together share one sync; while the disk is full, and for good after any
 * other disk failure or a digest mismatch, nothing more is sent, stored or applied. Thread safe; no lock is held while
 * waiting for the queue or a peer, so there is no lock order to follow.
 */
public final class RaftReplicatedLog implements ReplicatedLog {
    /** Largest command that the log accepts, in bytes. */
    public static final int MAX_COMMAND_BYTES = 1024 * 1024;

    private static final System.Logger LOGGER = System.getLogger(RaftReplicatedLog.class.getName());
    private static final int QUEUE_CAPACITY = 16_384;
    private static final int MAX_INPUTS_PER_SYNC = 1_024;
    private static final int MAX_UNCOMMITTED_ENTRIES = 4_096;
    private static final long STOP_TIMEOUT_MS = 5_000;
    private static final int TICKS_PER_HEARTBEAT = 5;
    /** Time between two attempts to write to a full disk; a fraction of an election timeout. */
    private static final long DISK_SPACE_CHECK_INTERVAL_MS = 100;

    /** The state visible to other threads. The writer thread replaces it as a whole after each batch of inputs. */
    private record Status(
            long term,
            Optional<NodeName> leader,
            long leaderSinceNanos,
            Optional<LeaseTime> leaseDeadline,
            long appliedIndex,
            Membership membership,
            boolean voter) {}

    private sealed interface Input {}

    private record TransferLeadership() implements Input {}

    private record Discovered(NodeName peer) implements Input {}

    private record Received(NodeName from, LogMessage message) implements Input {}

    private record Submitted(Bytes command, CompletableFuture<byte[]> future) implements Input {}

    private final CoreSettings settings;
    private final LogStore store;
    private final LogTransport transport;
    private final WaitClock waitClock;
    private final LeaseClock leaseClock;
    private final LeaseReadings leaseReadings;
    private final RaftCore core;
    private final CoreOutputExecutor outputExecutor;
    private final PendingCommands pending;
    private final Consumer<RuntimeException> onFailure;
    private final BlockingQueue<Input> inputs = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
    private final ExecutorService callbacks;
    private final Thread writer;
    private final long tickNanos;
    private long nextTickNanos;
    private long proposalTerm;
    /** Used by the writer thread only. */
    private Role loggedRole = Role.FOLLOWER;

    private volatile Status status;
    private volatile boolean stopping;
    /**
     * Set before the writer thread removes the last inputs. A caller that queues a command after that removes it again.
     */
    private volatile boolean inputsDrained;

    /** Creates a replica that is not started yet; {@code transport} must pass incoming messages to {@link #receive}. */
    public RaftReplicatedLog(
            CoreSettings settings,
            LogStore store,
            LogTransport transport,
            ReplicatedStateMachine stateMachine,
            WaitClock waitClock,
            LeaseClock leaseClock,
            RandomGenerator random,
            long compactAfterEntries,
            Consumer<RuntimeException> onFailure) {
        this.settings = settings;
        this.store = store;
        this.transport = transport;
        this.waitClock = waitClock;
        this.leaseClock = leaseClock;
        this.leaseReadings = new LeaseReadings(settings.timings().leaseNanos());
        this.onFailure = onFailure;
        this.tickNanos = settings.timings().heartbeatNanos() / TICKS_PER_HEARTBEAT;
        this.nextTickNanos = waitClock.nowNanos();
        this.core = new RaftCore(settings, store.recovered(), random, nextTickNanos);
        this.callbacks = Executors.newSingleThreadExecutor(task -> daemonThread(task, "log-callbacks"));
        this.pending = new PendingCommands(callbacks);
        this.outputExecutor =
                new CoreOutputExecutor(core, store, transport, stateMachine, pending, compactAfterEntries);
        store.recovered().snapshot().ifPresent(outputExecutor::restore);
        this.status = new Status(
                core.term(),
                Optional.empty(),
                nextTickNanos,
                Optional.empty(),
                core.appliedIndex(),
                core.membership(),
                core.isVoter());
        this.writer = daemonThread(this::run, "log-writer");
    }

    /**
     * Opens the data folder, starts listening and starts the replica. The files of a folder with data loss are moved
     * away, and a new incarnation starts as a learner.
     */
    public static RaftReplicatedLog open(
            LogSettings settings,
            ReplicatedStateMachine stateMachine,
            WaitClock waitClock,
            LeaseClock leaseClock,
            Consumer<RuntimeException> onFailure) {
        return ReplicatedLogOpener.open(settings, stateMachine, waitClock, leaseClock, onFailure);
    }

    /** Starts the writer thread. */
    public void start() {
        writer.start();
    }

    /** Queues a message from a peer, or drops it if the queue is full. Never blocks. */
    public void receive(NodeName from, LogMessage message) {
        boolean accepted = !stopping && inputs.offer(new Received(from, message));
        if (!accepted && !stopping) {
            LOGGER.log(
                    Level.WARNING,
                    "log message from {0} dropped: the queue is full with {1} inputs",
                    from,
                    QUEUE_CAPACITY);
        }
    }

    @Override
    public CompletableFuture<byte[]> submit(byte[] command) {
        if (command.length > MAX_COMMAND_BYTES) {
            return CompletableFuture.failedFuture(LogRefusals.tooLarge(command.length, MAX_COMMAND_BYTES));
        }
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        Submitted submitted = new Submitted(Bytes.wrap(command.clone()), future);
        boolean accepted = !stopping && inputs.offer(submitted);
        boolean unprocessed = accepted && inputsDrained && inputs.remove(submitted);
        if (!accepted || unprocessed) {
            future.completeExceptionally(notLeader());
        }
        return future;
    }

    @Override
    public boolean isLeaderWithLease() {
        return !stopping && holdsLease(status);
    }

    /** Returns whether this node leads the term and holds its lease. */
    public boolean holdsLease(long ofTerm) {
        final Status read = status;
        return !stopping && read.term() == ofTerm && holdsLease(read);
    }

    private boolean holdsLease(Status read) {
        return read.leaseDeadline()
                .filter(deadline -> !deadline.hasPassed(leaseClock.now()))
                .isPresent();
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

    /** Adds a newly discovered control VM, to which a leader then sends the log. Never blocks. */
    public void discover(NodeName peer) {
        if (stopping || !inputs.offer(new Discovered(peer))) {
            LOGGER.log(Level.WARNING, "control VM {0} not added: {1} inputs are queued", peer, inputs.size());
        }
    }

    /** Returns the latest voters that this replica knows, each with the incarnation of its data folder. */
    public Membership membership() {
        return status.membership();
    }

    /** Returns whether this replica is a voter; otherwise it is a learner that is catching up. */
    public boolean isVoter() {
        return status.voter();
    }

    private void run() {
        try {
            while (!stopping) {
                processBatch();
            }
            startLeadershipTransfer();
            outputExecutor.run(waitClock);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "the replicated log on this VM stops: " + e.getMessage(), e);
            final boolean failedWhileStopping = stopping;
            stopping = true;
            if (!failedWhileStopping) {
                onFailure.accept(e);
            }
        } catch (Error e) {
            stopping = true;
            onFailure.accept(
                    new WigeongradeException(ErrorKind.INTERNAL, "the writer thread of the log failed: " + e, e));
            throw e;
        } finally {
            terminate();
        }
    }

    private void processBatch() throws InterruptedException {
        long waitNanos = Math.max(0, nextTickNanos - waitClock.nowNanos());
        Input first = inputs.poll(waitNanos, TimeUnit.NANOSECONDS);
        List<Input> batch = new ArrayList<>();
        if (first != null) {
            batch.add(first);
            inputs.drainTo(batch, MAX_INPUTS_PER_SYNC);
        }
        for (Input input : batch) {
            process(input);
        }
        LeaseTime leaseTime = leaseClock.now();
        long nowNanos = waitClock.nowNanos();
        if (nowNanos - nextTickNanos >= 0) {
            leaseReadings.record(leaseTime, nowNanos);
            core.tick(nowNanos);
            nextTickNanos = nowNanos + tickNanos;
        }
        outputExecutor.run(waitClock);
        publishStatus();
    }

    /**
     * Waits after a write for which the disk has no space; returns whether to repeat it. Until it succeeds, this replica
     * neither votes nor acknowledges anything, and other threads see that it does not lead.
     */
    boolean waitForDiskSpace() {
        final Status before = status;
        final boolean leads = before.leader().equals(Optional.of(settings.self()));
        status = new Status(
                before.term(),
                leads ? Optional.empty() : before.leader(),
                before.leaderSinceNanos(),
                Optional.empty(),
                before.appliedIndex(),
                before.membership(),
                before.voter());
        try {
            Thread.sleep(DISK_SPACE_CHECK_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
        return !stopping;
    }

    private void process(Input input) {
        if (input instanceof Received received) {
            core.receive(received.from(), received.message(), waitClock.nowNanos());
        } else if (input instanceof Submitted submitted) {
            propose(submitted);
        } else if (input instanceof Discovered discovered) {
            core.addDiscoveredPeer(discovered.peer());
        } else if (input instanceof TransferLeadership) {
            startLeadershipTransfer();
        }
    }

    /**
     * Gives up leadership. Other threads see that the lease has ended before the successor is told to start an
     * election.
     */
    private void startLeadershipTransfer() {
        core.transferLeadership(waitClock.nowNanos());
        publishStatus();
    }

    private void propose(Submitted submitted) {
        boolean tooManyUncommitted = core.last().index() - core.commitIndex() >= MAX_UNCOMMITTED_ENTRIES;
        OptionalLong index = tooManyUncommitted ? OptionalLong.empty() : core.propose(submitted.command());
        if (index.isEmpty()) {
            pending.fail(
                    submitted.future(),
                    tooManyUncommitted ? LogRefusals.tooManyUncommitted(MAX_UNCOMMITTED_ENTRIES) : notLeader());
            return;
        }
        proposalTerm = core.term();
        pending.add(index.getAsLong(), proposalTerm, submitted.future());
    }

    private void publishStatus() {
        boolean lostLeadership = core.leaderSinceNanos().isEmpty() || core.term() != proposalTerm;
        if (lostLeadership) {
            pending.failAll();
        }
        logRoleChange();
        OptionalLong leaderSinceNanos = core.leaderSinceNanos();
        status = new Status(
                core.term(),
                core.leader(),
                leaderSinceNanos.orElse(status.leaderSinceNanos()),
                leaseDeadline(),
                core.appliedIndex(),
                core.membership(),
                core.isVoter());
        pending.runCompletions();
    }

    private Optional<LeaseTime> leaseDeadline() {
        OptionalLong startNanos = core.leaseStartNanos(waitClock.nowNanos());
        return startNanos.isEmpty() ? Optional.empty() : leaseReadings.deadlineOf(startNanos.getAsLong());
    }

    private void logRoleChange() {
        final Role role = core.role();
        if (role == loggedRole && core.term() == status.term()) {
            return;
        }
        loggedRole = role;
        LOGGER.log(
                Level.INFO,
                "replica {0} is {1} in term {2}; its log ends at {3}, committed up to {4}",
                settings.self(),
                role,
                core.term(),
                core.last().index(),
                core.commitIndex());
    }

    private void terminate() {
        status = new Status(
                status.term(),
                Optional.empty(),
                status.leaderSinceNanos(),
                Optional.empty(),
                status.appliedIndex(),
                status.membership(),
                status.voter());
        pending.failAll();
        inputsDrained = true;
        List<Input> remaining = new ArrayList<>();
        inputs.drainTo(remaining);
        for (Input input : remaining) {
            if (input instanceof Submitted submitted) {
                pending.fail(submitted.future(), notLeader());
            }
        }
        pending.runCompletions();
        transport.close();
        store.close();
    }

    private WigeongradeException notLeader() {
        return LogRefusals.notLeader(settings.self(), status.leader());
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Transfers leadership to the voter with the most complete log, if this replica is the leader. Returns without
     * waiting for the transfer.
     */
    public void transferLeadership() {
        boolean accepted = inputs.offer(new TransferLeadership());
        if (!accepted) {
            LOGGER.log(Level.WARNING, "leadership not transferred: the queue is full with {0} inputs", QUEUE_CAPACITY);
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
