package org.wigeongrade.nodes;

import java.net.InetSocketAddress;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/** Serves the node service on a Thrift port with a fixed pool of worker threads. Thread safe. */
public final class NodeServer implements AutoCloseable {
    /** The largest Thrift message between processes of the fleet, in bytes. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /** Frames that are being received may take this much memory together; further ones wait. */
    private static final long MAX_READ_BYTES = 2L * MAX_FRAME_BYTES;

    private static final int SELECTOR_THREADS = 1;
    private static final int STOP_TIMEOUT_SECONDS = 1;

    private final TServer server;
    private final Thread acceptThread;

    public NodeServer(InetSocketAddress listenAddress, TProcessor processor, int workerThreads) {
        try {
            final TNonblockingServerSocket socket = new TNonblockingServerSocket(listenAddress);
            final TThreadedSelectorServer.Args arguments = new TThreadedSelectorServer.Args(socket);
            arguments.maxReadBufferBytes = MAX_READ_BYTES;
            server = new TThreadedSelectorServer(arguments
                    .processor(processor)
                    .protocolFactory(new TCompactProtocol.Factory())
                    .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
                    .selectorThreads(SELECTOR_THREADS)
                    .stopTimeoutVal(STOP_TIMEOUT_SECONDS)
                    .workerThreads(workerThreads));
        } catch (TTransportException failure) {
            throw new WigeongradeException(
                    ErrorKind.INTERNAL,
                    "cannot listen on " + listenAddress + ": " + failure.getMessage()
                            + "; free the port or change peer_listen",
                    failure);
        }
        acceptThread = new Thread(server::serve, "node-server");
        acceptThread.setDaemon(true);
    }

    /** Starts serving calls. */
    public void start() {
        acceptThread.start();
    }

    @Override
    public void close() {
        server.stop();
    }
}
