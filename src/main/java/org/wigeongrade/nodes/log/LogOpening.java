package org.wigeongrade.nodes.log;

import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.wigeongrade.disk.DiskLostException;
import org.wigeongrade.disk.FileOperations;
import org.wigeongrade.disk.LogStore;

/** Opens the data folder, listens and starts a replica. Stateless. */
final class LogOpening {
    private static final System.Logger LOGGER = System.getLogger(LogOpening.class.getName());

    private LogOpening() {}

    static RaftReplicatedLog open(
            LogSettings settings,
            ReplicatedStateMachine machine,
            LongSupplier clock,
            Consumer<RuntimeException> onFailure) {
        SecureRandom random = new SecureRandom();
        LogStore store = openStore(settings, random);
        LateReceiver receiver = new LateReceiver();
        LogTransport transport = listen(settings, store, receiver);
        RaftReplicatedLog log = new RaftReplicatedLog(
                settings.core(), store, transport, machine, clock, random, settings.compactAfterEntries(), onFailure);
        receiver.connect(log);
        log.start();
        return log;
    }

    private static LogTransport listen(LogSettings settings, LogStore store, LateReceiver receiver) {
        try {
            return ThriftLogTransport.start(
                    settings.core().self(), settings.listenAddress(), settings.directory(), receiver);
        } catch (RuntimeException e) {
            store.close();
            throw e;
        }
    }

    private static LogStore openStore(LogSettings settings, SecureRandom random) {
        try {
            return LogStore.open(settings.folder(), FileOperations.SYSTEM, random::nextLong);
        } catch (DiskLostException e) {
            LOGGER.log(
                    Level.ERROR,
                    "data folder counts as lost, a new incarnation starts as a learner: " + e.getMessage());
            LogStore.setAside(settings.folder(), FileOperations.SYSTEM);
            return LogStore.open(settings.folder(), FileOperations.SYSTEM, random::nextLong);
        }
    }
}
