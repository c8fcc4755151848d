import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes each replica that runs it, at a service with twenty-four replicas. Its requester sends it again and
 * again, for longer than the node keeps it back; sound requests run beside it.
 */
public final class LapsedQuarantineCase {
    private static final double CONTACT_S = 3;
    private static final double BACK_AFTER_S = 2;
    private static final double REPEAT_S = 0.03;
    private static final int ALLOWED = 3;
    private static final double LENGTH_S = 75;

    private record Arrival(double atS, String id) {}

    private final Lab lab;
    private final boolean trouble = Lab.trouble();
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Double> crashes = new CopyOnWriteArrayList<>();
    private final AtomicInteger lives = new AtomicInteger();

    private LapsedQuarantineCase(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] args) {
        int status;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            status = new LapsedQuarantineCase(lab).run();
        } catch (Exception e) {
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }

    private void startReplica(String ip) throws IOException {
        new Lab.Replica(lab, "i-" + Integer.toHexString(0xa100 + lives.incrementAndGet()), "ledger", ip, 6, null, (replica, request, out, socket) -> {
            boolean poison = request.target.equals("/read/statement-7");
            if (poison) {
                arrivals.add(new Arrival(lab.record.nowS(), request.id()));
            }
            lab.record.line("run " + request.target + " " + request.id() + " at " + replica.id);
            if (poison && trouble) {
                crashes.add(lab.record.nowS());
                replica.stop();
                Lab.daemon("restart", () -> {
                    try {
                        Thread.sleep((long) (BACK_AFTER_S * 1000));
                        startReplica(ip);
                    } catch (IOException | InterruptedException e) {
                        lab.record.line("the replica does not come back: " + e);
                    }
                });
                return;
            }
            Thread.sleep(10);
            Lab.Replica.answer(out, request, 200, Map.of("Keep-Alive", "timeout=5"), "done");
        }).start();
    }

    private int run() throws Exception {
        lab.planControls(3);
        for (int i = 0; i < 3; i++) {
            lab.startControl(i, true, 1);
        }
        for (int i = 1; i <= 24; i++) {
            startReplica(lab.ip(3, i));
        }
        lab.operate("POST", "/-/configuration/replace", Lab.configuration(1,
                List.of(Lab.route("read", "/read/", "idempotent", "ledger", 2, 2_500, false)), List.of(Lab.plainService("ledger"))), 25_000);
        lab.startEntry(0, "");
        lab.startEntry(1, "");
        lab.startEntry(2, "");
        lab.awaitReady(20_000);
        Thread.sleep(2_500);
        AtomicInteger sound = new AtomicInteger();
        double endS = lab.record.nowS() + LENGTH_S;
        List<Thread> soundTraffic = new ArrayList<>();
        for (int thread = 0; thread < 2; thread++) {
            int first = thread * 10_000;
            soundTraffic.add(Lab.daemon("sound", () -> {
                for (int i = first; lab.record.nowS() < endS; i++) {
                    if (send(i % 2, "/read/loan-" + i, "s" + i) == 200) {
                        sound.incrementAndGet();
                    }
                    sleep(150);
                }
            }));
        }
        List<Thread> poison = new ArrayList<>();
        for (int i = 0; lab.record.nowS() < endS; i++) {
            int attempt = i;
            poison.add(Lab.daemon("poison", () -> send(attempt % 3, "/read/statement-7", "p" + attempt)));
            sleep((long) (REPEAT_S * 1000));
        }
        for (Thread thread : soundTraffic) {
            thread.join(5_000);
        }
        for (Thread thread : poison) {
            thread.join(5_000);
        }
        if (sound.get() < 20) {
            System.err.println("only " + sound.get() + " sound requests were served");
            return 2;
        }
        Set<String> late = new LinkedHashSet<>();
        if (crashes.size() >= 3) {
            double fromS = crashes.get(2) + CONTACT_S;
            arrivals.stream().filter(arrival -> arrival.atS() > fromS).forEach(arrival -> late.add(arrival.id()));
        }
        String result = crashes.size() + " crashes, " + arrivals.size() + " arrivals; after " + CONTACT_S + " s beyond the third crash "
                + late.size() + " attempts of the requester reached replicas, " + ALLOWED + " are allowed; " + sound.get() + " sound requests served";
        lab.record.line(result);
        System.out.println(result);
        return late.size() > ALLOWED ? 1 : 0;
    }

    private int send(int entry, String target, String id) {
        lab.record.line("send " + target + " " + id + " to entry-" + entry);
        int status = 0;
        try {
            Lab.Answer answer = Lab.Client.once(lab.entry(entry), "GET", target, Lab.headers(id, 2_500), new byte[0], 4_000);
            status = answer == null ? 0 : answer.status;
        } catch (IOException e) {
            lab.record.line("error " + id + " " + e);
        }
        lab.record.line("answer " + id + " " + status);
        return status;
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
