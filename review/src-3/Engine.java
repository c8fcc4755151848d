import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An engine VM: joins groups by orders and, as the head of an open group, passes requests to its work. */
class Engine extends Lab.Replica {
    static final int JOIN_MS = 200;
    static final int LOAD_MS = 1_000;
    static final int FORMATION_MS = 300;

    private long highestEpoch;

    Engine(Lab lab, String id, String service, String ip, int slots, String domain, Lab.Work work) {
        super(lab, id, service, ip, slots, domain, work);
    }

    boolean isOpenHead() {
        return state.equals("open") && !members.isEmpty() && members.get(0).equals(id);
    }

    private static String text(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static long number(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":(-?[0-9]+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    private static List<String> names(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":\\[([^\\]]*)\\]").matcher(json);
        List<String> names = new ArrayList<>();
        if (matcher.find()) {
            Matcher name = Pattern.compile("\"([^\"]*)\"").matcher(matcher.group(1));
            while (name.find()) {
                names.add(name.group(1));
            }
        }
        return names;
    }

    @Override
    void order(Lab.Request request, OutputStream out) throws IOException {
        String json = new String(request.body, StandardCharsets.UTF_8);
        int status;
        synchronized (this) {
            status = carryOut(json);
            if (status == 202) {
                orders.incrementAndGet();
            }
        }
        lab.record.line("order at " + id + " " + json + " -> " + status);
        answer(out, request, status, Map.of(), "");
    }

    private int carryOut(String json) {
        String operation = text(json, "operation");
        if (operation.equals("phase")) {
            String wanted = text(json, "model");
            if (staged.contains(wanted)) {
                return 200;
            }
            later(LOAD_MS, () -> staged.add(wanted));
            return 202;
        }
        String ofGroup = text(json, "group");
        long ofEpoch = number(json, "epoch");
        boolean mine = ofGroup.equals(group) && ofEpoch == epoch;
        switch (operation) {
            case "join":
                List<String> list = names(json, "members");
                if (ofEpoch < highestEpoch || (mine && !list.equals(members))) {
                    return 412;
                }
                if (mine) {
                    return 200;
                }
                String wanted = text(json, "model");
                int joinMs = staged.contains(wanted) ? JOIN_MS : LOAD_MS;
                highestEpoch = ofEpoch;
                group = ofGroup;
                epoch = ofEpoch;
                members = list;
                model = wanted;
                state = "joining";
                later(joinMs, () -> become(ofGroup, ofEpoch, "joining", "ready", wanted));
                return 202;
            case "open":
                if (!mine || members.indexOf(id) != 0) {
                    return 409;
                }
                if (state.equals("open")) {
                    return 200;
                }
                if (!state.equals("ready")) {
                    return 409;
                }
                later(FORMATION_MS, () -> become(ofGroup, ofEpoch, "ready", "open", model));
                return 202;
            case "close":
                if (!mine || !state.equals("open")) {
                    return 409;
                }
                state = "ready";
                return 200;
            case "leave":
                if (!mine) {
                    return 409;
                }
                group = "";
                state = "";
                members = List.of();
                return 200;
            default:
                return 400;
        }
    }

    private void become(String ofGroup, long ofEpoch, String from, String to, String ofModel) {
        synchronized (this) {
            if (!group.equals(ofGroup) || epoch != ofEpoch || !state.equals(from)) {
                return;
            }
            state = to;
            if (!staged.contains(ofModel)) {
                staged.add(ofModel);
            }
        }
        lab.record.line("state of " + id + " " + to + " in " + ofGroup);
        sendHeartbeat();
    }

    private void later(long ms, Runnable action) {
        long life = born;
        Lab.daemon("later-" + id, () -> {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                return;
            }
            if (running && born == life) {
                action.run();
            }
        });
    }

    static String service(String name, String model, int size, double stepMs) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConnections\":384,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldRateS\":0.0,\"engine\":{\"slots\":18,\"kvCapacity\":969230,\"kvBytes\":50752,\"linkMbps\":400000.0,\"stride\":5,\"models\":[{\"name\":\""
                + model + "\",\"size\":" + size + ",\"share\":1.0,\"pace\":1.0,\"loadS\":1.0,\"warmupS\":0.2}],\"step_ms\":" + stepMs
                + ",\"per_seq_ms\":0.348,\"context_per_k\":0.007,\"read_per_s\":14600.0,\"pairs_per_m\":0.7,\"chunk\":2048,\"report_lag_ms\":200.0,\"loadsPerS\":4.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":1076,\"answer\":116},\"retains\":1,\"far_x\":2.5,\"formationMs\":300.0}}";
    }
}
