package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stand-in for a replica of a model, as the users' pages describe it: it carries out the orders of the leader, and as the
 * head of a group it accepts requests while the group is open.
 */
final class ModelReplica extends Replica {
    static final String MODEL = "model-a";
    private static final long JOIN_MS = 200;
    private static final long FORMATION_MS = 300;

    /** The memberships in which each replica has ever been ready. */
    private static final Set<String> READY = ConcurrentHashMap.newKeySet();

    /** Returns a service for a configuration, with one model whose groups have {@code size} members. */
    static String service(String name, int size) {
        return """
                {"name":"%s","healthPath":"/healthz","maxConnections":384,"protocol":"h1","tls":false,"coldStartS":0.0,
                "coldRateS":0.0,%s}""".formatted(name, ENGINE.replace("SIZE", Integer.toString(size)));
    }

    /** Returns a route for a configuration, whose streams may be resumed. */
    static String route(String prefix, String service, int timeoutMs) {
        return """
                {"name":"r-explain","hostname":"desk.example","pathPrefix":"%s","kind":"streaming","timeoutMs":%d,
                "targetLatencyMs":500,"priority":1,"service":"%s","maxAttempts":2,"anonymous":true,"sessionAffinity":true,
                "resumable":true,"targetItlMs":300}""".formatted(prefix, timeoutMs, service);
    }

    private static final String ENGINE = """
            "engine":{"slots":18,"kvCapacity":969230,"kvBytes":50752,"linkMbps":400000.0,"stride":5,
            "models":[{"name":"model-a","size":SIZE,"share":1.0,"pace":1.0,"loadS":1.0,"warmupS":0.2}],
            "step_ms":6.07,"per_seq_ms":0.35,"context_per_k":0.007,"read_per_s":46000.0,"pairs_per_m":0.7,"chunk":2048,
            "report_lag_ms":200.0,"loadsPerS":4.0,"loads_at_once":6,"delays":[],"usual":{"prompt":1076,"answer":116},
            "retains":1,"far_x":2.5,"formationMs":300.0}""";

    private String group = "";
    private List<String> members = List.of();
    private long epoch;
    private long highestEpoch;
    private long highestToken;
    private String state = "";
    private String lastOrder = "";

    ModelReplica(Fleet fleet, String id, String service, String ip, int port, Handler handler) throws IOException {
        super(fleet, id, service, ip, port, handler);
    }

    @Override
    synchronized String engineFields() {
        final String membership = group.isEmpty()
                ? ""
                : ",\"group\":{\"name\":\"%s\",\"epoch\":%d,\"rank\":%d,\"state\":\"%s\"}"
                        .formatted(group, epoch, members.indexOf(id), state);
        final String models =
                group.isEmpty() ? "[]" : "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}]";
        return ",\"phase\":\"both\",\"models\":" + models + ",\"staged\":[\"" + MODEL + "\"],\"domain\":\"d1\"" + membership;
    }

    @Override
    boolean answer(Http.Message request, OutputStream out) throws Exception {
        if (request.target().equals("/-/report")) {
            write(out, 200, request, "", "{\"phase\":\"both\",\"models\":[],\"busy\":false,\"sequence\":1,\"queued\":0,"
                    + "\"active\":0,\"kvUsed\":0,\"kvTotal\":969230,\"handles\":0}");
            return true;
        }
        if (request.target().equals("/-/order")) {
            write(out, execute(request.text()), request, "", "{}");
            return true;
        }
        if (!isOpen()) {
            write(out, isHead() ? 503 : 421, request, "X-Not-Executed: 1\r\n", "");
            return true;
        }
        return super.answer(request, out);
    }

    private synchronized boolean isHead() {
        return !members.isEmpty() && members.get(0).equals(id);
    }

    /** Describes the group that this replica heads. */
    synchronized String describeGroup() {
        return group + " epoch " + epoch + " " + members;
    }

    /** Returns the members of this replica's group that have never been ready under its name, epoch and list. */
    synchronized List<String> neverReady() {
        return members.stream().filter(member -> !READY.contains(member + " in " + describeGroup())).toList();
    }

    private synchronized boolean isOpen() {
        return state.equals("open");
    }

    private synchronized int execute(String order) {
        final long token = Long.parseLong(field(order, "\"fencingToken\":(\\d+)", "0"));
        if (token < highestToken) {
            return 412;
        }
        highestToken = token;
        final String operation = field(order, "\"operation\":\"([^\"]*)\"", "");
        final String ordered = field(order, "\"group\":\"([^\"]*)\"", "");
        final long orderedEpoch = Long.parseLong(field(order, "\"epoch\":(\\d+)", "0"));
        final List<String> orderedMembers = Stream.of(field(order, "\"members\":\\[([^\\]]*)\\]", "").split(","))
                .map(member -> member.replace("\"", ""))
                .toList();
        final boolean mine = ordered.equals(group) && orderedEpoch == epoch;
        final String described = operation + " " + ordered + " epoch " + orderedEpoch
                + (operation.equals("join") ? " " + orderedMembers : "");
        if (!described.equals(lastOrder)) {
            Case.note(id + " got " + described);
        }
        lastOrder = described;
        switch (operation) {
            case "join":
                if (mine && orderedMembers.equals(members)) {
                    return 200;
                }
                if (orderedEpoch < highestEpoch) {
                    return 412;
                }
                if (orderedEpoch == epoch && ordered.equals(group)) {
                    return 412;
                }
                group = ordered;
                members = orderedMembers;
                epoch = orderedEpoch;
                highestEpoch = orderedEpoch;
                change("joining");
                changeLater("ready", JOIN_MS);
                return 202;
            case "phase":
                return 200;
            case "open":
                if (!mine || !isHead() || !(state.equals("ready") || state.equals("open"))) {
                    return 409;
                }
                if (state.equals("open")) {
                    return 200;
                }
                changeLater("open", FORMATION_MS);
                return 202;
            case "close":
                if (!mine) {
                    return 409;
                }
                if (state.equals("ready")) {
                    return 200;
                }
                change("ready");
                return 200;
            case "leave":
                if (!mine) {
                    return 409;
                }
                group = "";
                members = List.of();
                change("");
                return 200;
            default:
                return 400;
        }
    }

    private static String field(String order, String pattern, String absent) {
        final Matcher found = Pattern.compile(pattern).matcher(order);
        return found.find() ? found.group(1) : absent;
    }

    private synchronized void change(String next) {
        state = next;
        if (next.equals("ready")) {
            READY.add(id + " in " + describeGroup());
        }
        Case.daemon("report-" + id, this::heartbeat);
    }

    private void changeLater(String next, long afterMs) {
        final String of = describeGroup();
        Case.daemon("change-" + id, () -> {
            Case.sleepMs(afterMs);
            synchronized (this) {
                if (of.equals(describeGroup()) && !isClosed()) {
                    change(next);
                }
            }
        });
    }
}
