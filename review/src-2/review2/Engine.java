package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A model replica as the pages describe it: orders, groups and reports. The engines of one {@link Cluster} know each
 * other, as the members of a group do. Thread safe; one lock for the whole cluster.
 */
final class Engine {
    static final String MODEL = "model-a";
    private static final long SAME_MODEL_JOIN_MS = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A group as its members know it. */
    record Group(String name, long epoch, List<String> members) {
        String head() {
            return members.get(0);
        }
    }

    /** The engines of a service. */
    static final class Cluster {
        final Map<String, Engine> engines = new ConcurrentHashMap<>();
        final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2, task -> {
            final Thread thread = new Thread(task, "engines");
            thread.setDaemon(true);
            return thread;
        });
        final CaseRecord record;
        final Consumer<String> onTwo;
        final long loadMs;
        final long warmupMs;
        final long formationMs;
        final long stallMs;

        /** @param onTwo called when a replica takes a join while the head of its group serves or stands still */
        Cluster(CaseRecord record, Consumer<String> onTwo, long loadMs, long warmupMs, long formationMs, long stallMs) {
            this.record = record;
            this.onTwo = onTwo;
            this.loadMs = loadMs;
            this.warmupMs = warmupMs;
            this.formationMs = formationMs;
            this.stallMs = stallMs;
            scheduler.scheduleAtFixedRate(this::checkStalls, 50, 50, TimeUnit.MILLISECONDS);
        }

        private void checkStalls() {
            synchronized (this) {
                engines.values().forEach(Engine::checkStall);
            }
        }
    }

    final String id;
    private final Cluster cluster;
    private final String domain;
    private Replica replica;
    private Group group;
    private String state = "";
    private boolean hasJoined;
    private boolean staged;
    private long highestEpoch;
    private long highestToken;
    private long accepted;
    private long transition;
    private long stalledSinceNanos;

    Engine(String id, String domain, Cluster cluster) {
        this.id = id;
        this.domain = domain;
        this.cluster = cluster;
        cluster.engines.put(id, this);
    }

    void setReplica(Replica reporting) {
        replica = reporting;
    }

    /** Returns the fields of the heartbeat that belong to an engine. */
    String fields() {
        synchronized (cluster) {
            final String models = hasJoined ? "{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}" : "";
            final String groupField = group == null
                    ? ""
                    : ",\"group\":{\"name\":\"" + group.name() + "\",\"epoch\":" + group.epoch() + ",\"rank\":"
                            + group.members().indexOf(id) + ",\"state\":\"" + state + "\"}";
            return ",\"phase\":\"both\",\"domain\":\"" + domain + "\",\"staged\":[" + (staged ? "\"" + MODEL + "\"" : "")
                    + "],\"models\":[" + models + "]" + groupField;
        }
    }

    String description() {
        synchronized (cluster) {
            return id + (group == null ? " in no group" : " in " + group.name() + " " + group.members() + ", " + state);
        }
    }

    boolean isOpenHead() {
        synchronized (cluster) {
            return group != null && group.head().equals(id) && state.equals("open");
        }
    }

    Group group() {
        synchronized (cluster) {
            return group;
        }
    }

    /** Serves a request for a report or an order; other paths are left to the caller. */
    boolean serve(Replica.Connection connection, Http.Head head) throws IOException {
        final byte[] body = connection.in().readNBytes(head.contentLength());
        if (head.path().equals("/-/order")) {
            final JsonNode order = JSON.readTree(body);
            final int status;
            synchronized (cluster) {
                status = execute(order);
            }
            cluster.record.line(id + " order " + order + ": " + status);
            respond(connection, status, "");
            replica.reportChange();
        } else {
            respond(connection, 200, "{\"phase\":\"both\",\"models\":[],\"busy\":false,\"sequence\":" + accepted
                    + ",\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":969230,\"handles\":0,\"pace\":1.0}");
        }
        return true;
    }

    static void respond(Replica.Connection connection, int status, String body) throws IOException {
        connection.write("HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    private int execute(JsonNode order) {
        final long token = order.path("fencingToken").asLong();
        if (token < highestToken) {
            return 412;
        }
        highestToken = token;
        final String operation = order.path("operation").asText();
        if (operation.equals("phase")) {
            staged = true;
            return 200;
        }
        if (operation.equals("join")) {
            return join(order);
        }
        final boolean current = group != null
                && group.name().equals(order.path("group").asText())
                && group.epoch() == order.path("epoch").asLong();
        if (!current) {
            return 409;
        }
        return switch (operation) {
            case "open" -> open();
            case "close" -> close();
            case "leave" -> leave();
            default -> 400;
        };
    }

    private int join(JsonNode order) {
        final List<String> members = new ArrayList<>();
        order.path("members").forEach(member -> members.add(member.asText()));
        final Group next = new Group(order.path("group").asText(), order.path("epoch").asLong(), List.copyOf(members));
        if (next.equals(group)) {
            return 200;
        }
        final boolean sameName = group != null && next.name().equals(group.name()) && next.epoch() == group.epoch();
        if (next.epoch() < highestEpoch || sameName) {
            return 412;
        }
        if (group != null && !group.name().equals(next.name())) {
            final Engine head = cluster.engines.get(group.head());
            final boolean headServes = group.equals(head.group)
                    && (head.state.equals("open") || head.state.equals("closing"));
            if (headServes) {
                cluster.onTwo.accept(id + " takes a join of " + next.name() + " while " + head.id + ", the head of its group "
                        + group.name() + ", is " + head.state);
            }
        }
        highestEpoch = next.epoch();
        group = next;
        state = "joining";
        stalledSinceNanos = 0;
        accepted++;
        after(hasJoined ? SAME_MODEL_JOIN_MS : staged ? cluster.warmupMs : cluster.loadMs, "ready");
        return 202;
    }

    private int open() {
        if (state.equals("open")) {
            return 200;
        }
        if (!state.equals("ready") || !group.head().equals(id)) {
            return 409;
        }
        accepted++;
        after(cluster.formationMs, "open");
        return 202;
    }

    private int close() {
        if (state.equals("ready")) {
            return 200;
        }
        if (!state.equals("open")) {
            return 409;
        }
        accepted++;
        state = "closing";
        after(50, "ready");
        return 202;
    }

    private int leave() {
        group = null;
        state = "";
        transition++;
        accepted++;
        return 200;
    }

    private void after(long delayMs, String next) {
        final long expected = ++transition;
        cluster.scheduler.schedule(
                () -> {
                    synchronized (cluster) {
                        if (transition != expected) {
                            return;
                        }
                        state = next;
                        if (next.equals("ready")) {
                            staged = true;
                            hasJoined = true;
                        }
                    }
                    cluster.record.line(description());
                    replica.reportChange();
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    /** A head whose member is in another group or in none stands still, and breaks after the stall time. */
    private void checkStall() {
        if (group == null || !group.head().equals(id) || !state.equals("open")) {
            return;
        }
        final Group own = group;
        final boolean complete = own.members().stream()
                .allMatch(member -> own.equals(cluster.engines.get(member).group));
        if (complete) {
            stalledSinceNanos = 0;
        } else if (stalledSinceNanos == 0) {
            stalledSinceNanos = System.nanoTime();
        } else if (System.nanoTime() - stalledSinceNanos > cluster.stallMs * 1_000_000) {
            state = "broken";
            cluster.record.line(id + ", the head of " + own.name() + ", is broken");
            replica.reportChange();
        }
    }
}
