package org.wigeongrade.platform.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.FaultInjectionProxy;
import org.wigeongrade.proof.ManagedProcess;

/**
 * The node processes of a fleet on loopback, with the control VMs behind proxies.
 *
 * <p>Invariant: {@link #close} ends every process that was started here, by its id. Thread safe; at most one process
 * fault affects a node at a time.
 */
final class SoakNodes implements AutoCloseable {
    static final int TOLERATED_LOSSES = 1;
    private static final String MAIN = "org.wigeongrade.command.Main";
    private static final String STARTED_EVENT = " event=1001 ";
    private static final int GRACE_S = 3;
    /** File size limit in blocks of 512 bytes, slightly above the log size of a newly started fleet. */
    private static final int FULL_DISK_BLOCKS = 96;

    private final Path folder;
    private final SoakAddresses addresses;
    private final GuaranteeChecker guarantees;
    private final List<ManagedProcess> processes = new CopyOnWriteArrayList<>();
    private final Deque<Integer> oldBuilds = new ConcurrentLinkedDeque<>();
    private final List<Object> locks = new ArrayList<>();
    private final List<List<FaultInjectionProxy>> proxies = new ArrayList<>();

    SoakNodes(Path folder, SoakAddresses addresses, GuaranteeChecker guarantees) throws IOException {
        this.guarantees = guarantees;
        this.folder = folder;
        this.addresses = addresses;
        for (int control = 0; control < addresses.controls(); control++) {
            proxies.add(proxiesOf(control));
        }
        for (int node = 0; node < count(); node++) {
            locks.add(new Object());
            writeSettings(node, true);
            final String oldBuild = System.getProperty("soak.oldBuild", "");
            if (isControl(node) && !oldBuild.isEmpty()) {
                oldBuilds.add(node);
                processes.add(startOldBuild(node, Path.of(oldBuild)));
            } else {
                processes.add(ManagedProcess.startJava(name(node), folder, MAIN, arguments(node)));
            }
        }
    }

    /** Starts a node of the build in another folder; the last class path of a command line counts. */
    private ManagedProcess startOldBuild(int node, Path build) {
        final Path classes = Path.of("target", "classes");
        final String classPath = System.getProperty("java.class.path")
                .replace(
                        classes.toAbsolutePath().toString(),
                        build.resolve(classes).toString());
        final List<String> arguments = new ArrayList<>(List.of(classPath, MAIN));
        arguments.addAll(arguments(node));
        return ManagedProcess.startJava(name(node), folder, "-cp", arguments);
    }

    private List<String> arguments(int node) {
        return List.of("fleet-node", "--settings", settingsFile(node).toString());
    }

    /** Replaces the next control node that runs an old build; returns what was done, empty if none does. */
    Optional<String> replaceNextOldBuild() {
        final Integer node = oldBuilds.poll();
        if (node == null) {
            return Optional.empty();
        }
        synchronized (locks.get(node)) {
            processes.get(node).terminate();
            if (!processes.get(node).awaitEnd(GRACE_S * 1_000L)) {
                processes.get(node).kill();
            }
            writeSettings(node, false);
            processes.set(node, ManagedProcess.startJava(name(node), folder, MAIN, arguments(node)));
        }
        return Optional.of("replace the old build of " + name(node));
    }

    private List<FaultInjectionProxy> proxiesOf(int control) throws IOException {
        final List<FaultInjectionProxy> controlProxies = new ArrayList<>();
        for (final int port : addresses.proxiedPorts()) {
            controlProxies.add(new FaultInjectionProxy(
                    SoakAddresses.address(addresses.proxyControlIp(control), port),
                    SoakAddresses.address(addresses.boundControlIp(control), port)));
        }
        return controlProxies;
    }

    SoakAddresses addresses() {
        return addresses;
    }

    /** Returns the number of nodes; control nodes come first. */
    int count() {
        return addresses.controls() + addresses.entries();
    }

    List<Integer> controls() {
        return IntStream.range(0, addresses.controls()).boxed().toList();
    }

    List<Integer> entries() {
        return IntStream.range(addresses.controls(), count()).boxed().toList();
    }

    /** Excuses a node whose process a fault affects from what endpoints told it. */
    void excuse(int node) {
        guarantees.sendRestrictions().excuse(node - addresses.controls());
        guarantees.limits().excuse(node - addresses.controls());
    }

    String name(int node) {
        return isControl(node) ? "control-" + node : "entry-" + (node - addresses.controls());
    }

    void setProxyMode(int control, FaultInjectionProxy.Mode mode) {
        proxies.get(control).forEach(proxy -> proxy.setMode(mode));
    }

    /** Cuts control VMs from other nodes, but not from endpoints, for {@code forMs}. */
    void cutFromPeers(List<Integer> cutControls, FaultInjectionProxy.Mode mode, long forMs) {
        setPeerMode(cutControls, mode);
        Await.sleepMs(forMs);
        setPeerMode(cutControls, FaultInjectionProxy.Mode.FORWARD);
    }

    private void setPeerMode(List<Integer> cutControls, FaultInjectionProxy.Mode mode) {
        final int peerPorts = addresses.peerPorts().size();
        cutControls.forEach(
                control -> proxies.get(control).subList(0, peerPorts).forEach(proxy -> proxy.setMode(mode)));
    }

    /** Resets the open connections to a control VM; new ones are forwarded normally. */
    void resetConnections(int control) {
        setProxyMode(control, FaultInjectionProxy.Mode.RESET);
        setProxyMode(control, FaultInjectionProxy.Mode.FORWARD);
    }

    /**
     * Sends SIGHUP to a node that has started, so that it reads its settings again. A JVM that has not yet run any code of
     * a node ends at this signal.
     */
    void reload(int node) {
        synchronized (locks.get(node)) {
            if (processes.get(node).outputSinceStart().contains(STARTED_EVENT)) {
                processes.get(node).hangUp();
            }
        }
    }

    /** Returns the nodes whose process has ended by itself. */
    List<String> endedNodes() {
        return processes.stream()
                .filter(process -> !process.isAlive())
                .map(ManagedProcess::name)
                .toList();
    }

    private void kill(int node) {
        final long startNanos = System.nanoTime();
        processes.get(node).kill();
        if (!isControl(node)) {
            guarantees.cutResponses().recordKill(node - addresses.controls(), startNanos);
        }
    }

    /** Kills a node and restarts it after {@code downMs}, with an empty disk if {@code loseDisk}. */
    void killAndRestart(int node, long downMs, boolean loseDisk) {
        synchronized (locks.get(node)) {
            kill(node);
            if (loseDisk) {
                deleteData(node);
            }
            restartAfter(node, downMs);
        }
    }

    /** Stops a node with SIGTERM, kills it after its grace period, and restarts it after {@code downMs}. */
    void stopAndRestart(int node, long downMs) {
        synchronized (locks.get(node)) {
            processes.get(node).terminate();
            if (!processes.get(node).awaitEnd(GRACE_S * 1_000L)) {
                kill(node);
            }
            restartAfter(node, downMs);
        }
    }

    /**
     * Restarts a node with a file size limit, waits up to {@code forMs} for it to exit, kills it if it has not, and
     * restarts it without the limit.
     */
    void fillDisk(int node, long forMs) {
        synchronized (locks.get(node)) {
            processes.get(node).kill();
            writeSettings(node, false);
            processes.get(node).restartWithFileLimit(FULL_DISK_BLOCKS);
            final boolean unused = processes.get(node).awaitEnd(forMs);
            processes.get(node).kill();
            restartAfter(node, 0);
        }
    }

    void pause(int node, long forMs) {
        synchronized (locks.get(node)) {
            processes.get(node).freeze();
            Await.sleepMs(forMs);
            processes.get(node).resume();
        }
    }

    private void restartAfter(int node, long downMs) {
        Await.sleepMs(downMs);
        writeSettings(node, false);
        processes.get(node).restart();
    }

    private boolean isControl(int node) {
        return node < addresses.controls();
    }

    private Path settingsFile(int node) {
        return folder.resolve(name(node) + ".toml");
    }

    private Path dataFolder(int node) {
        return folder.resolve("data-" + name(node));
    }

    private void writeSettings(int node, boolean bootstrap) {
        final String seeds = IntStream.range(0, Math.min(3, addresses.controls()))
                .mapToObj(control -> "\"" + addresses.proxyControlIp(control) + ":" + addresses.controlPort() + "\"")
                .collect(Collectors.joining(", "));
        final String ip =
                isControl(node) ? addresses.proxyControlIp(node) : addresses.entryIp(node - addresses.controls());
        final String bindIp = isControl(node) ? addresses.boundControlIp(node) : ip;
        final String role = isControl(node)
                ? "role = \"control\"\ncontrol_listen = \"" + bindIp + ":" + addresses.controlPort()
                        + "\"\ndata_folder = \"" + dataFolder(node) + "\"\n"
                : "role = \"entry\"\ncaller_listen = \"" + bindIp + ":" + addresses.callerPort()
                        + "\"\nreadiness_listen = \"" + bindIp + ":" + addresses.readinessPort()
                        + "\"\nendpoint_gateway_ip = \"" + addresses.gatewayIp(node - addresses.controls())
                        + "\"\n";
        final String text = """
                name = "%s"
                availability_zone = "zone-a"
                ip = "%s"
                bind_ip = "%s"
                first_internal_port = %d
                seeds = [%s]
                bootstrap = %s
                losses_borne = %d
                heartbeat_ms = %d
                stall_ms = %d
                revoke_ms = %d
                grace_s = %d
                """.formatted(
                        name(node),
                        ip,
                        bindIp,
                        addresses.firstPort(),
                        seeds,
                        bootstrap,
                        TOLERATED_LOSSES,
                        FakeEndpointVm.HEARTBEAT_MS,
                        FakeEngine.STALL_MS,
                        SoakOperator.REVOKE_MS,
                        GRACE_S);
        try {
            Files.writeString(settingsFile(node), text + role);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void deleteData(int node) {
        try (Stream<Path> files = Files.walk(dataFolder(node))) {
            for (final Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the output of the entry nodes. */
    String entryLogs() {
        return entries().stream().map(entry -> processes.get(entry).output()).collect(Collectors.joining("\n"));
    }

    /** Returns the output of the control nodes. */
    String controlLogs() {
        return processes.stream()
                .limit(addresses.controls())
                .map(ManagedProcess::output)
                .collect(Collectors.joining("\n"));
    }

    /** Returns the output of every node, to trace a violation. */
    String logs() {
        return processes.stream()
                .map(process -> "==== " + process.name() + "\n" + process.output())
                .collect(Collectors.joining("\n"));
    }

    @Override
    public void close() {
        processes.forEach(ManagedProcess::close);
        for (final FaultInjectionProxy proxy :
                proxies.stream().flatMap(List::stream).toList()) {
            try {
                proxy.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
