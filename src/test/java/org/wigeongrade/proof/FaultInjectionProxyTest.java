package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class FaultInjectionProxyTest {
    private ServerSocket echoServer;
    private FaultInjectionProxy proxy;

    @BeforeEach
    void start() throws IOException {
        echoServer = new ServerSocket(LoopbackPorts.allocate(), 10, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::runEchoServer);
        thread.setDaemon(true);
        thread.start();
        proxy = new FaultInjectionProxy(echoServer.getLocalPort());
    }

    @AfterEach
    void stop() throws IOException {
        proxy.close();
        echoServer.close();
    }

    @Test
    void forwardsInBothDirections() throws IOException {
        try (Socket socket = connect()) {
            assertThat(sendAndReadEcho(socket, 7)).isEqualTo(7);
        }
    }

    @Test
    void blackholesOpenConnectionsPermanentlyAndForwardsNewOnes() throws IOException {
        try (Socket openBefore = connect()) {
            assertThat(sendAndReadEcho(openBefore, 7)).isEqualTo(7);
            proxy.blackholeOpenConnections();

            assertThrows(SocketTimeoutException.class, () -> sendAndReadEcho(openBefore, 8));
            try (Socket openedAfter = connect()) {
                assertThat(sendAndReadEcho(openedAfter, 9)).isEqualTo(9);
            }
        }
    }

    @Test
    void partitionHoldsUpBytesAndConnectionsUntilItEnds() throws IOException {
        try (Socket openBefore = connect()) {
            assertThat(sendAndReadEcho(openBefore, 7)).isEqualTo(7);
            proxy.setMode(FaultInjectionProxy.Mode.PARTITION);

            assertThrows(SocketTimeoutException.class, () -> sendAndReadEcho(openBefore, 8));
            assertThrows(SocketTimeoutException.class, this::connect);
            proxy.setMode(FaultInjectionProxy.Mode.FORWARD);
            assertThat(openBefore.getInputStream().read()).isEqualTo(8);
            try (Socket openedAfter = connect()) {
                assertThat(sendAndReadEcho(openedAfter, 9)).isEqualTo(9);
            }
        }
    }

    @Test
    void refusesNewConnectionsAndForwardsOpenOnes() throws IOException {
        try (Socket openBefore = connect()) {
            assertThat(sendAndReadEcho(openBefore, 7)).isEqualTo(7);
            proxy.setMode(FaultInjectionProxy.Mode.REFUSE_NEW);

            assertThat(sendAndReadEcho(openBefore, 8)).isEqualTo(8);
            assertThrows(ConnectException.class, this::connect);
        }
    }

    @Test
    void resetsConnections() throws IOException {
        try (Socket socket = connect()) {
            assertThat(sendAndReadEcho(socket, 7)).isEqualTo(7);
            proxy.setMode(FaultInjectionProxy.Mode.RESET);

            assertThrows(SocketException.class, () -> {
                for (int i = 0; i < 100; i++) {
                    assertThat(sendAndReadEcho(socket, 8)).isEqualTo(8);
                }
            });
        }
    }

    private Socket connect() throws IOException {
        String address = proxy.address();
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 300);
        socket.setSoTimeout(300);
        return socket;
    }

    private static int sendAndReadEcho(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }

    private void runEchoServer() {
        while (!echoServer.isClosed()) {
            try {
                Socket socket = echoServer.accept();
                Thread thread = new Thread(() -> echoBytes(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void echoBytes(Socket socket) {
        try (socket) {
            int value = socket.getInputStream().read();
            while (value >= 0) {
                socket.getOutputStream().write(value);
                value = socket.getInputStream().read();
            }
        } catch (IOException e) {
            // The test has reset the connection.
        }
    }
}
