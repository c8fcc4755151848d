package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class CuttingProxyTest {
    private ServerSocket echo;
    private CuttingProxy proxy;

    @BeforeEach
    void start() throws IOException {
        echo = new ServerSocket(LoopbackPorts.free(), 10, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve);
        thread.setDaemon(true);
        thread.start();
        proxy = new CuttingProxy(echo.getLocalPort());
    }

    @AfterEach
    void stop() throws IOException {
        proxy.close();
        echo.close();
    }

    @Test
    void passesBothWays() throws IOException {
        try (Socket socket = connect()) {
            assertThat(echoOf(socket, 7)).isEqualTo(7);
        }
    }

    @Test
    void silencesOpenConnectionsForGoodWhileNewOnesPass() throws IOException {
        try (Socket old = connect()) {
            assertThat(echoOf(old, 7)).isEqualTo(7);
            proxy.silenceOpenConnections();

            assertThrows(SocketTimeoutException.class, () -> echoOf(old, 8));
            try (Socket fresh = connect()) {
                assertThat(echoOf(fresh, 9)).isEqualTo(9);
            }
        }
    }

    @Test
    void resetsConnections() throws IOException {
        try (Socket socket = connect()) {
            assertThat(echoOf(socket, 7)).isEqualTo(7);
            proxy.set(CuttingProxy.Mode.RESET);

            assertThrows(SocketException.class, () -> {
                for (int i = 0; i < 100; i++) {
                    assertThat(echoOf(socket, 8)).isEqualTo(8);
                }
            });
        }
    }

    private Socket connect() throws IOException {
        String address = proxy.address();
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(300);
        return socket;
    }

    private static int echoOf(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }

    private void serve() {
        while (!echo.isClosed()) {
            try {
                Socket socket = echo.accept();
                Thread thread = new Thread(() -> copyBack(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void copyBack(Socket socket) {
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
