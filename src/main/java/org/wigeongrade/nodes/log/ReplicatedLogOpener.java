package org.wigeongrade.nodes.log;

import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.function.Consumer;
import org.wigeongrade.clock.LeaseClock;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.disk.DataLossException;
import org.wigeongrade.disk.FileOperations;
import org.wigeongrade.disk.FullDiskPolicy;
import org.wigeongrade.disk.LogStore;

/** Opens the data folder, starts listening and starts a replica. Stateless. */
final class ReplicatedLogOpener {
    private static final System.Logger LOGGER = System.getLogger(ReplicatedLogOpener.class.getName());

    private ReplicatedLogOpener() {}

    static RaftReplicatedLog open(
            LogSettings settings,
            ReplicatedStateMachine stateMachine,
            WaitClock waitClock,
            LeaseClock leaseClock,
            Consumer<RuntimeException> onFailure) {
        SecureRandom random = new SecureRandom();
        FullDiskWaiter fullDiskWaiter = new FullDiskWaiter();
        LogStore store = openStore(settings, random, fullDiskWaiter);
        DeferredReceiver receiver = new DeferredReceiver();
        LogTransport transport = listen(settings, store, receiver);
        RaftReplicatedLog log = new RaftReplicatedLog(
                settings.core(),
                store,
                transport,
                stateMachine,
                waitClock,
                leaseClock,
                random,
                settings.compactAfterEntries(),
                onFailure);
        receiver.connect(log);
        fullDiskWaiter.connect(log);
        log.start();
        return log;
    }

    private static LogTransport listen(LogSettings settings, LogStore store, DeferredReceiver receiver) {
        try {
            return ThriftLogTransport.start(
                    settings.core().self(), settings.listenAddress(), settings.directory(), receiver);
        } catch (RuntimeException e) {
            store.close();
            throw e;
        }
    }

    private static LogStore openStore(LogSettings settings, SecureRandom random, FullDiskPolicy fullDiskPolicy) {
        try {
            return LogStore.open(settings.folder(), FileOperations.SYSTEM, random::nextLong, fullDiskPolicy);
        } catch (DataLossException e) {
            LOGGER.log(
                    Level.ERROR,
                    "the data folder has lost data; a new incarnation starts as a learner: " + e.getMessage());
            LogStore.moveToLostFolder(settings.folder(), FileOperations.SYSTEM);
            return LogStore.open(settings.folder(), FileOperations.SYSTEM, random::nextLong, fullDiskPolicy);
        }
    }
}
