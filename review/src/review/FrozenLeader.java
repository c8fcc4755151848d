package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The replicas of a model are replaced one after the other, and the leader freezes for half a second between two of
 * them. No request may begin in a group one of whose members was never ready under its name, epoch and list.
 */
final class FrozenLeader extends Case {
    private static final long FREEZE_MS = 550;
    private static final long SERVE_ON_MS = 4_000;
    private static final long SETTLE_MS = 6_000;

    private final AtomicBoolean broken = new AtomicBoolean();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private Fleet fleet;

    public static void main(String[] args) throws IOException {
        main(new FrozenLeader());
    }

    @Override
    boolean run() throws Exception {
        try (Fleet started = new Fleet(3, 1, 1)) {
            fleet = started;
            fleet.start();
            fleet.publish(ModelReplica.route("/explain/", "desk", 6000), ModelReplica.service("desk", 2));
            final Replica first = replica("i-4", 0);
            final Replica second = replica("i-5", 1);
            replica("i-6", 2);
            fleet.awaitReady();
            await("a request is served", 30_000, () -> send() == 200);
            daemon("requester", () -> {
                while (!ended.get()) {
                    daemon("request", () -> served.addAndGet(send() == 200 ? 1 : 0));
                    sleepMs(100);
                }
            });
            sleepMs(SETTLE_MS);
            return check(first, second);
        } finally {
            ended.set(true);
        }
    }

    private boolean check(Replica first, Replica second) throws Exception {
        note("i-4 is replaced");
        first.drainAndExit(SERVE_ON_MS);
        sleepMs(2_000);
        final int leader = fleet.leader();
        if (trouble) {
            fleet.freezeControl(leader, FREEZE_MS);
        }
        sleepMs(1_000);
        replica("i-2", 0);
        note("i-2 has started at the address of i-4");
        sleepMs(SETTLE_MS);
        note("i-5 is replaced");
        second.drainAndExit(SERVE_ON_MS);
        sleepMs(2_000);
        replica("i-3", 1);
        note("i-3 has started at the address of i-5");
        sleepMs(SETTLE_MS);
        note(served + " of " + sent + " requests were served");
        return !broken.get();
    }

    private Replica replica(String id, int number) throws IOException {
        return new ModelReplica(fleet, id, "desk", fleet.replicaIp(number), fleet.replicaPort(), this::answer).start();
    }

    private boolean answer(Replica replica, Http.Message request, OutputStream out) throws IOException {
        final ModelReplica head = (ModelReplica) replica;
        if (!head.neverReady().isEmpty() && broken.compareAndSet(false, true)) {
            note("BROKEN " + request.header("x-attempt-id").orElse("-") + " begins to run in " + head.describeGroup()
                    + ", and " + head.neverReady() + " was never ready under this name, epoch and list");
        }
        final String event = "id: 1\ndata: piece 1\n\n";
        sleepMs(50);
        out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id").orElse("-") + "\r\n"
                        + Replica.seal(request, replica.id) + "Content-Type: text/event-stream\r\nContent-Length: "
                        + event.length() + "\r\n" + (replica.isLeaving() ? "Server-Leaving: 1\r\n" : "") + "\r\n" + event)
                .getBytes(StandardCharsets.UTF_8));
        out.flush();
        return true;
    }

    private int send() {
        final String attempt = "s-" + sent.incrementAndGet();
        try (Http.Connection caller = new Http.Connection(fleet.entryIp(0), fleet.callerPort())) {
            caller.send(
                    "POST /explain/" + attempt + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt
                            + "\r\nX-Model: " + ModelReplica.MODEL + "\r\nX-Token-Count: 600,25\r\nX-Prompt-Prefix: 5c1e07a2:40,"
                            + Integer.toHexString(attempt.hashCode()) + ":560\r\nX-Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\n",
                    "{}".getBytes(StandardCharsets.UTF_8));
            final Optional<Http.Message> answer = caller.receive();
            return answer.filter(Http.Message::complete).map(Http.Message::status).orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
