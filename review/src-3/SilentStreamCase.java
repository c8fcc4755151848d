import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Streams, one after the other, whose replica falls silent for well under a second, twice, and goes on each time. The route
 * allows two replicas for one attempt of a requester.
 */
public final class SilentStreamCase {
    private static final String MODEL = "daka510000";
    private static final int EVENTS = 18;
    private static final int REQUESTS = 16;
    private static final int MAX_ATTEMPTS = 2;
    private static final int ALLOWED = 3;
    private static final int STEP_MS = 30;
    private static final int TOKENS_OF_EVENT = 5;
    private static final int PREFILL_MS = 100;
    /** From the last event before a silence to the next one. */
    private static final long SILENCE_MS = 665;

    private final Lab lab;
    private final boolean trouble = Lab.trouble();
    private final Map<String, Set<String>> ranAt = new ConcurrentHashMap<>();
    private final List<Engine> engines = new CopyOnWriteArrayList<>();

    private SilentStreamCase(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        int status;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            status = new SilentStreamCase(lab).run();
        } catch (Exception e) {
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }

    /** Reads the prompt, then sends an event of several tokens at a time. The first replica of a request falls silent twice. */
    private void generate(Lab.Replica replica, Lab.Request request, OutputStream out, Socket socket) throws IOException, InterruptedException {
        if (!((Engine) replica).isOpenHead()) {
            Lab.Replica.answer(out, request, 421, Map.of("X-Not-Executed", "1"), "");
            return;
        }
        int last = Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0"));
        lab.record.line("arrival " + request.id() + " at " + replica.id + " after event " + last);
        Thread.sleep(PREFILL_MS + STEP_MS);
        if (hasLeft(socket)) {
            lab.record.line("dropped unrun " + request.id() + " at " + replica.id);
            return;
        }
        Set<String> replicas = ranAt.computeIfAbsent(request.id(), id -> java.util.Collections.synchronizedSet(new LinkedHashSet<>()));
        boolean first = replicas.isEmpty();
        replicas.add(replica.id);
        lab.record.line("run " + request.id() + " at " + replica.id);
        long tokensMs = (TOKENS_OF_EVENT - 1) * STEP_MS;
        for (int event = last + 1; event <= EVENTS; event++) {
            Thread.sleep(tokensMs);
            replica.awaitEndOfSilence();
            tokensMs = TOKENS_OF_EVENT * STEP_MS;
            if (hasLeft(socket)) {
                lab.record.line("left " + request.id() + " at " + replica.id + " before event " + event);
                return;
            }
            if (event == last + 1) {
                out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id() + "\r\nX-Server-Seal: seal-" + request.id() + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
            byte[] bytes = ("id: " + event + "\ndata: piece-" + event + "\n\n").getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            chunk.write(bytes);
            chunk.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.write(chunk.toByteArray());
            out.flush();
            if (trouble && first && (event == 4 || event == 8)) {
                lab.record.line("silent " + request.id() + " at " + replica.id + " after event " + event);
                replica.fallSilent(SILENCE_MS);
            }
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        lab.record.line("done " + request.id() + " at " + replica.id);
    }

    /** The node closes its connection when it drops a request; nothing else arrives while an answer is under way. */
    private static boolean hasLeft(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            if (!socket.isClosed()) {
                socket.setSoTimeout(0);
            }
        }
    }

    private int run() throws Exception {
        lab.planControls(3);
        for (int i = 0; i < 3; i++) {
            lab.startControl(i, true, 1);
        }
        for (int i = 0; i < 12; i++) {
            Engine engine = new Engine(lab, "i-" + Integer.toHexString(0xb100 + i), "pool", lab.ip(3, i + 1), 18, "d" + i / 6, this::generate);
            engines.add(engine);
            engine.start();
        }
        lab.operate("POST", "/-/configuration/replace", Lab.configuration(1,
                List.of(Lab.route("chat", "/chat/", "streaming", "pool", MAX_ATTEMPTS, 8_000, true)), List.of(Engine.service("pool", MODEL, 2, STEP_MS))), 25_000);
        lab.startEntry(0, "");
        lab.startEntry(1, "");
        lab.awaitReady(20_000);
        for (int i = 0; i < 150 && heads() < 4; i++) {
            Thread.sleep(100);
        }
        Thread.sleep(3_000);
        lab.record.line(heads() + " groups are open");
        if (heads() < 3) {
            System.err.println("only " + heads() + " groups are open");
            return 2;
        }
        int complete = 0;
        for (int i = 0; i < REQUESTS; i++) {
            complete += send(i % 2, "r" + i) ? 1 : 0;
        }
        int over = 0;
        for (Map.Entry<String, Set<String>> request : ranAt.entrySet()) {
            if (request.getValue().size() > MAX_ATTEMPTS) {
                over++;
                lab.record.line("over " + request.getKey() + " ran at " + request.getValue());
            }
        }
        String result = over + " of " + ranAt.size() + " requests ran at more replicas than maxAttempts = " + MAX_ATTEMPTS + "; " + ALLOWED + " are allowed; "
                + complete + " streams complete";
        lab.record.line(result);
        System.out.println(result);
        if (ranAt.size() < REQUESTS) {
            return 2;
        }
        return over > ALLOWED ? 1 : 0;
    }

    private long heads() {
        return engines.stream().filter(Engine::isOpenHead).count();
    }

    private boolean send(int entry, String id) {
        lab.record.line("send " + id + " to entry-" + entry);
        Map<String, String> headers = Lab.headers(id, 8_000);
        headers.put("X-Model", MODEL);
        headers.put("X-Token-Count", "1460," + EVENTS * TOKENS_OF_EVENT);
        headers.put("X-Prompt-Prefix", "5c1e07a2:40," + Integer.toHexString(id.hashCode()) + ":1420");
        try {
            Lab.Answer answer = Lab.Client.once(lab.entry(entry), "POST", "/chat/" + id, headers, "prompt".getBytes(StandardCharsets.UTF_8), 9_000);
            boolean complete = answer != null && answer.status == 200 && answer.text().split("piece-").length == EVENTS + 1;
            lab.record.line("answer " + id + " " + (answer == null ? "none" : answer.status + " " + answer.text().split("piece-").length) + " complete " + complete);
            return complete;
        } catch (IOException e) {
            lab.record.line("error " + id + " " + e);
            return false;
        }
    }
}
