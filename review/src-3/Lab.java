import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses for the cases of this review: the project's own programs as processes, with
 * stand-ins for requesters, replicas and the operator. Uses the JDK only.
 */
final class Lab implements Closeable {
    static final int HEARTBEAT_MS = 1_200;
    private static final long LONGEST_MS = 112_000;

    final Path folder;
    final Recorder record;
    final int port;
    final List<String> controls = new ArrayList<>();
    final List<String> entries = new ArrayList<>();
    final Map<String, Process> processes = new ConcurrentHashMap<>();
    final List<Replica> replicas = new CopyOnWriteArrayList<>();
    private final String net;
    private final Path logs;

    /** Loopback addresses of this run; the second octet keeps runs beside each other apart. */
    Lab(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review-3-");
        record = new Recorder(recordFile);
        net = "127." + (100 + (int) (ProcessHandle.current().pid() % 100)) + ".";
        port = freePorts();
        logs = Files.createDirectories(folder.resolve("logs"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        daemon("watchdog", () -> {
            try {
                Thread.sleep(LONGEST_MS);
            } catch (InterruptedException e) {
                return;
            }
            System.err.println("the case did not end in time");
            System.exit(2);
        });
    }

    String ip(int group, int number) {
        return net + group + "." + number;
    }

    private int freePorts() {
        for (int first = 20_000 + (int) (ProcessHandle.current().pid() % 300) * 40; first < 60_000; first += 40) {
            boolean free = true;
            for (int at = first; at < first + 30 && free; at++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress("0.0.0.0", at));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    int controlPort() {
        return port + 4;
    }

    int callerPort() {
        return port + 5;
    }

    int readinessPort() {
        return port + 6;
    }

    int replicaPort() {
        return port + 7;
    }

    // ---- processes

    private static String runOf(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run command of role " + role);
    }

    private String common(boolean bootstrap) {
        String seeds = controls.stream().limit(3).map(ip -> "\"" + ip + ":" + controlPort() + "\"").collect(Collectors.joining(", "));
        return "first_internal_port = " + port + "\n"
                + "metrics_port = " + (port + 8) + "\n"
                + "seeds = [" + seeds + "]\n"
                + "bootstrap = " + bootstrap + "\n"
                + "heartbeat_ms = " + HEARTBEAT_MS + "\n"
                + "grace_s = 8\nrevoke_ms = 5000\nconfig_apply_ms = 2000\nretry_ratio = 0.2\nretry_window_s = 10\n"
                + "retry_slack = 130\nstall_ms = 4000\ncold_burst_factor = 1.5\ncold_margin = 5\nmax_descriptors = 4200\n";
    }

    void planControls(int count) {
        for (int i = 0; i < count; i++) {
            controls.add(ip(1, i + 1));
        }
    }

    void startControl(int i, boolean bootstrap, int lossesBorne) throws IOException {
        String ip = controls.get(i);
        start("control-" + i, "control",
                "name = \"control-" + i + "\"\nrole = \"control\"\navailability_zone = \"z" + i % 3 + "\"\nip = \"" + ip + "\"\n"
                        + "control_listen = \"" + ip + ":" + controlPort() + "\"\n"
                        + "data_folder = \"" + folder.resolve("data-" + i) + "\"\nlosses_borne = " + lossesBorne + "\n"
                        + common(bootstrap));
    }

    /** Starts an entry node; {@code more} are further lines of its settings. */
    void startEntry(int i, String more) throws IOException {
        String ip = ip(2, i + 1);
        if (entries.size() <= i) {
            entries.add(ip);
        }
        start("entry-" + i, "entry",
                "name = \"entry-" + i + "\"\nrole = \"entry\"\navailability_zone = \"z" + i % 3 + "\"\nip = \"" + ip + "\"\n"
                        + "caller_listen = \"" + ip + ":" + callerPort() + "\"\n"
                        + "readiness_listen = \"" + ip + ":" + readinessPort() + "\"\n" + more + common(true));
    }

    private void start(String name, String role, String settings) throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>(Arrays.asList(runOf(role).split(" ")));
        command.replaceAll(word -> word.equals("/etc/wigeongrade/local.conf") ? file.toString() : word);
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logs.resolve(name + ".log").toFile()))
                .start();
        processes.put(name, process);
        record.line("start " + name + " " + role);
    }

    void kill(String name) {
        Process process = processes.remove(name);
        if (process != null) {
            record.line("kill " + name);
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        replicas.forEach(Replica::stop);
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        record.close();
        if (System.getenv("KEEP") == null && Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException e) {
                System.err.println("the temporary folder stays: " + e);
            }
        } else if (System.getenv("KEEP") != null) {
            System.err.println("kept " + folder);
        }
    }

    // ---- operator

    /** Sends a call to each control node in turn until one acknowledges it; fails after the time given. */
    void operate(String method, String path, String body, long withinMs) throws InterruptedException {
        long deadline = System.nanoTime() + withinMs * 1_000_000;
        while (System.nanoTime() < deadline) {
            for (String ip : controls) {
                Answer answer = call(ip, method, path, body);
                if (answer != null && answer.status == 200) {
                    record.line("operator " + method + " " + path + " -> 200 from " + ip);
                    return;
                }
                if (answer != null && answer.status == 400) {
                    throw new IllegalStateException("refused: " + answer.text());
                }
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("no acknowledgement of " + path);
    }

    /** Calls one control node, following redirects; null without an answer within a second. */
    Answer call(String ip, String method, String path, String body) {
        try {
            Answer answer = Client.once(new InetSocketAddress(ip, controlPort()), method, path, Map.of(), body.getBytes(StandardCharsets.UTF_8), 1_000);
            for (int i = 0; i < 2 && answer != null && answer.status == 307; i++) {
                String location = answer.header("location").substring("http://".length());
                String[] target = location.substring(0, location.indexOf('/')).split(":");
                answer = Client.once(new InetSocketAddress(target[0], Integer.parseInt(target[1])), method, path, Map.of(), body.getBytes(StandardCharsets.UTF_8), 1_000);
            }
            return answer;
        } catch (IOException e) {
            return null;
        }
    }

    /** Waits until every entry node is ready. */
    void awaitReady(long withinMs) throws InterruptedException {
        long deadline = System.nanoTime() + withinMs * 1_000_000;
        for (String ip : entries) {
            while (true) {
                try {
                    Answer answer = Client.once(new InetSocketAddress(ip, readinessPort()), "GET", "/-/readyz", Map.of(), new byte[0], 1_000);
                    if (answer != null && answer.status == 200) {
                        break;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                if (System.nanoTime() > deadline) {
                    throw new IllegalStateException("entry node " + ip + " is not ready");
                }
                Thread.sleep(100);
            }
        }
    }

    /** What was sent, answered and run, with the time since the start. */
    static final class Recorder {
        private final long startNanos = System.nanoTime();
        private PrintStream out;

        Recorder(Path file) throws IOException {
            out = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
        }

        synchronized void line(String text) {
            if (out != null) {
                out.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text);
            }
        }

        double nowS() {
            return (System.nanoTime() - startNanos) / 1e9;
        }

        synchronized void close() {
            if (out != null) {
                out.close();
                out = null;
            }
        }
    }

    // ---- HTTP

    static final class Request {
        String method;
        String target;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String id() {
            return headers.getOrDefault("X-Attempt-Id", "-");
        }
    }

    static final class Answer {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("the connection ended before a chunk");
            }
            int bytes = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(bytes);
            if (chunk.length < bytes) {
                throw new EOFException("the connection ended within a chunk");
            }
            body.write(chunk);
            readLine(in);
            if (bytes == 0) {
                return body.toByteArray();
            }
        }
    }

    /** A requester: one request on a connection of its own. */
    static final class Client {
        static Answer once(InetSocketAddress to, String method, String target, Map<String, String> headers, byte[] body, int timeoutMs)
                throws IOException {
            try (Socket socket = new Socket()) {
                socket.connect(to, Math.min(timeoutMs, 1_000));
                socket.setSoTimeout(timeoutMs);
                socket.setTcpNoDelay(true);
                send(socket.getOutputStream(), to, method, target, headers, body);
                return readAnswer(new BufferedInputStream(socket.getInputStream()));
            }
        }

        static void send(OutputStream out, InetSocketAddress to, String method, String target, Map<String, String> headers, byte[] body)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(to.getHostString()).append(':').append(to.getPort()).append("\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            out.write(bytes.toByteArray());
            out.flush();
        }

        /** Reads an answer; null if the connection ended before it. */
        static Answer readAnswer(InputStream in) throws IOException {
            String line = readLine(in);
            if (line == null) {
                return null;
            }
            Answer answer = new Answer();
            answer.status = Integer.parseInt(line.split(" ")[1]);
            readHeaders(in, answer.headers);
            if ("chunked".equalsIgnoreCase(answer.header("Transfer-Encoding"))) {
                answer.body = readChunks(in);
                answer.complete = true;
            } else if (answer.header("Content-Length") != null) {
                int length = Integer.parseInt(answer.header("Content-Length"));
                answer.body = in.readNBytes(length);
                answer.complete = answer.body.length == length;
            } else {
                answer.body = in.readAllBytes();
                answer.complete = true;
            }
            return answer;
        }
    }

    // ---- replicas

    /** What a replica does with a request that is no call of the platform. */
    interface Work {
        void run(Replica replica, Request request, OutputStream out, Socket socket) throws Exception;
    }

    /**
     * A replica of a plain service or, with a domain, an engine that joins groups. It registers with the control nodes and
     * sends heartbeats as the platform's pages say.
     */
    static class Replica {
        final Lab lab;
        final String id;
        final String service;
        final String ip;
        final int slots;
        final String domain;
        final Work work;
        final int port;
        final AtomicLong sequence = new AtomicLong();
        final AtomicLong orders = new AtomicLong();
        volatile long born;
        volatile boolean running;
        volatile boolean draining;
        /** Until then this replica sends nothing, and goes on afterwards. */
        private volatile long silentUntilNanos = System.nanoTime();
        private volatile ServerSocket server;
        private final List<Socket> open = new CopyOnWriteArrayList<>();
        private Thread heartbeats;
        private String heartbeatIp;

        // Engine state.
        String model = "";
        String group = "";
        long epoch;
        List<String> members = List.of();
        String state = "";
        final List<String> staged = new CopyOnWriteArrayList<>();

        Replica(Lab lab, String id, String service, String ip, int slots, String domain, Work work) {
            this(lab, id, service, ip, lab.replicaPort(), slots, domain, work);
        }

        Replica(Lab lab, String id, String service, String ip, int port, int slots, String domain, Work work) {
            this.port = port;
            this.lab = lab;
            this.id = id;
            this.service = service;
            this.ip = ip;
            this.slots = slots;
            this.domain = domain;
            this.work = work;
            lab.replicas.add(this);
        }

        String address() {
            return ip + ":" + port;
        }

        synchronized void start() throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(ip, port), 200);
            server = opened;
            born = System.currentTimeMillis();
            sequence.set(0);
            orders.set(0);
            group = "";
            model = "";
            state = "";
            running = true;
            lab.record.line("replica " + id + " starts");
            daemon("accept-" + id, () -> accept(opened));
            long life = born;
            heartbeats = daemon("heartbeat-" + id, () -> beat(life));
        }

        /** Ends at once; the connections are reset or closed by the end of the process. */
        synchronized void stop() {
            if (!running) {
                return;
            }
            running = false;
            try {
                server.close();
            } catch (IOException e) {
                // Closed already.
            }
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // Closed already.
                }
            }
            open.clear();
            lab.record.line("replica " + id + " ends");
        }

        private void accept(ServerSocket from) {
            while (running) {
                try {
                    Socket socket = from.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon("serve-" + id, () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (running) {
                    String line = readLine(in);
                    if (line == null) {
                        return;
                    }
                    Request request = new Request();
                    String[] words = line.split(" ");
                    request.method = words[0];
                    request.target = words[1];
                    readHeaders(in, request.headers);
                    String length = request.headers.get("Content-Length");
                    if (length != null) {
                        request.body = in.readNBytes(Integer.parseInt(length));
                    } else if ("chunked".equalsIgnoreCase(request.headers.get("Transfer-Encoding"))) {
                        request.body = readChunks(in);
                    }
                    if (!handle(request, socket)) {
                        return;
                    }
                }
            } catch (Exception e) {
                // The other side has closed the connection, or this replica has ended.
            } finally {
                open.remove(socket);
            }
        }

        /** Sends nothing for a time: no answer, no event and no heartbeat. */
        void fallSilent(long forMs) {
            silentUntilNanos = System.nanoTime() + forMs * 1_000_000;
        }

        void awaitEndOfSilence() throws InterruptedException {
            for (long left = silentUntilNanos - System.nanoTime(); left > 0; left = silentUntilNanos - System.nanoTime()) {
                TimeUnit.NANOSECONDS.sleep(left);
            }
        }

        private boolean handle(Request request, Socket socket) throws Exception {
            awaitEndOfSilence();
            OutputStream out = socket.getOutputStream();
            String expected = request.headers.get("X-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                answer(out, request, 421, Map.of("X-Not-Executed", "1"), "another instance");
            } else if (request.target.equals("/healthz")) {
                answer(out, request, draining ? 503 : 200, Map.of("X-Instance-Id", id), "");
            } else if (request.target.equals("/-/report")) {
                answer(out, request, 200, Map.of("Content-Type", "application/json"), report());
            } else if (request.target.equals("/-/order")) {
                order(request, out);
            } else {
                work.run(this, request, out, socket);
            }
            return running && !"close".equalsIgnoreCase(request.headers.get("Connection"));
        }

        synchronized String report() {
            return "{\"born\":" + born + ",\"phase\":\"both\",\"models\":" + models() + ",\"staged\":" + staged.stream().map(name -> "\"" + name + "\"").toList()
                    + ",\"busy\":false,\"sequence\":" + orders.get() + ",\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":900000,\"handles\":0,\"pace\":1.0"
                    + (group.isEmpty() ? "" : "," + groupField()) + "}";
        }

        private String models() {
            return model.isEmpty() ? "[]" : "[{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}]";
        }

        private String groupField() {
            return "\"group\":{\"name\":\"" + group + "\",\"epoch\":" + epoch + ",\"rank\":" + members.indexOf(id) + ",\"state\":\"" + state + "\"}";
        }

        /** Carries out an order of the platform; only engines get any. */
        void order(Request request, OutputStream out) throws IOException {
            answer(out, request, 400, Map.of(), "no orders");
        }

        static void answer(OutputStream out, Request request, int status, Map<String, String> headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + request.id() + "\r\nX-Server-Seal: seal-" + request.id() + "\r\nContent-Length: " + bytes.length + "\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            out.write(all.toByteArray());
            out.flush();
        }

        private void beat(long life) {
            while (running && born == life) {
                try {
                    awaitEndOfSilence();
                    sendHeartbeat();
                    Thread.sleep(HEARTBEAT_MS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        String heartbeat() {
            String engine = domain == null ? "" : ",\"phase\":\"both\",\"domain\":\"" + domain + "\",\"models\":" + models()
                    + ",\"staged\":" + staged.stream().map(name -> "\"" + name + "\"").toList() + (group.isEmpty() ? "" : "," + groupField());
            return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":" + slots
                    + ",\"state\":\"" + (draining ? "draining" : "ready") + "\",\"coldRemainingMs\":0" + engine + ",\"born\":" + born
                    + ",\"sequence\":" + sequence.incrementAndGet() + "}";
        }

        /** Sends a heartbeat to one control node after the other until one acknowledges it. */
        synchronized boolean sendHeartbeat() {
            List<String> targets = new ArrayList<>(lab.controls);
            if (heartbeatIp != null) {
                targets.remove(heartbeatIp);
                targets.add(0, heartbeatIp);
            }
            for (String target : targets) {
                Answer answer = lab.call(target, "POST", "/-/instances/" + id + "/heartbeat", heartbeat());
                if (answer != null && answer.status / 100 == 2) {
                    int at = answer.text().indexOf("heartbeatAddress\":\"");
                    heartbeatIp = at < 0 ? target : answer.text().substring(at + "heartbeatAddress\":\"".length()).split(":")[0];
                    return true;
                }
            }
            heartbeatIp = null;
            return false;
        }
    }

    /**
     * The path of one entry node to one replica: forwards connections, or is cut, so that open ones are reset and new ones
     * refused.
     */
    static final class Link {
        private final InetSocketAddress listen;
        private final InetSocketAddress target;
        private final List<Socket> open = new CopyOnWriteArrayList<>();
        private volatile ServerSocket server;

        Link(String ip, int port, String targetIp) throws IOException {
            listen = new InetSocketAddress(ip, port);
            target = new InetSocketAddress(targetIp, port);
            restore();
        }

        synchronized void restore() throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(listen, 200);
            server = opened;
            daemon("path", () -> {
                while (!opened.isClosed()) {
                    try {
                        Socket from = opened.accept();
                        Socket to = new Socket();
                        to.connect(target, 1_000);
                        from.setTcpNoDelay(true);
                        to.setTcpNoDelay(true);
                        open.add(from);
                        open.add(to);
                        daemon("forward", () -> forward(from, to));
                        daemon("back", () -> forward(to, from));
                    } catch (IOException e) {
                        // Cut, or the replica has ended.
                    }
                }
            });
        }

        synchronized void cut() throws IOException {
            server.close();
            open.forEach(Link::reset);
            open.clear();
        }

        private void forward(Socket from, Socket to) {
            try {
                from.getInputStream().transferTo(to.getOutputStream());
                to.shutdownOutput();
            } catch (IOException e) {
                reset(from);
                reset(to);
            }
        }

        private static void reset(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConnections\":200,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldRateS\":0.0}";
    }

    static String route(String name, String prefix, String kind, String service, int maxAttempts, long timeoutMs, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"lab.example\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":500,\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + maxAttempts
                + ",\"anonymous\":true,\"sessionAffinity\":false,\"resumable\":" + resumable + ",\"targetItlMs\":300}";
    }

    static String configuration(long version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", services)
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";
    }

    static Map<String, String> headers(String id, long deadlineMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "lab.example");
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", Long.toString(deadlineMs));
        return headers;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    InetSocketAddress entry(int i) {
        return new InetSocketAddress(entries.get(i), callerPort());
    }

}
