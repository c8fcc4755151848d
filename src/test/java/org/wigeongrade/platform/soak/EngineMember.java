package org.wigeongrade.platform.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.wigeongrade.proof.Await;

/**
 * The group membership of an engine VM, by the engines' contract, with short times.
 *
 * <p>Invariant: a head that lost a member stands still and breaks after {@link #STALL_MS}. Thread safe; the lock of one
 * member is never held while another member is asked.
 */
final class EngineMember {
    static final long STALL_MS = 1_000;
    static final int GROUP_SIZE = 2;
    private static final long JOIN_MS = 150;
    /** Members of a group are not ready at the same moment. */
    private static final long JOIN_SPREAD_MS = 1_200;

    private static final long FORMATION_MS = 100;
    private static final long CLOSE_MS = 30;
    private static final int BEGUN = 202;
    private static final int DONE = 200;
    private static final int DOES_NOT_FIT = 409;
    private static final int FENCED = 412;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A group as one member knows it. Immutable; safe for use from any thread. */
    record Group(String name, long epoch, List<String> members) {}

    private final String vm;
    private final String domain;
    private final StandinFleet fleet;
    private Group group;
    private String state = "";
    private String nextState = "";
    private long nextStateNanos;
    private long fence;
    private long highestEpoch;
    private boolean loaded;
    private volatile long changes;
    private long standsStillSinceNanos;

    EngineMember(String vm, String domain, StandinFleet fleet) {
        this.vm = vm;
        this.domain = domain;
        this.fleet = fleet;
    }

    synchronized void restarted() {
        group = null;
        state = "";
        nextState = "";
        fence = 0;
        highestEpoch = 0;
        loaded = false;
        standsStillSinceNanos = 0;
    }

    /** Returns a number that grows when the state changes, so that a heartbeat is due. */
    long changes() {
        settle();
        return changes;
    }

    synchronized Group group() {
        return group;
    }

    synchronized boolean isHead() {
        return group != null && group.members().get(0).equals(vm);
    }

    /** Returns whether the head of this group runs requests or may run them yet. */
    boolean mayServe() {
        settle();
        synchronized (this) {
            return isHead() && (state.equals("open") || state.equals("closing"));
        }
    }

    boolean isReadyIn(Group other) {
        settle();
        synchronized (this) {
            return other.equals(group) && !state.equals("joining");
        }
    }

    /** Returns whether a request begins to run here; waits while the group stands still. */
    boolean mayBegin() {
        if (!mayServe() || !awaitProgress()) {
            return false;
        }
        fleet.checkWhole(group());
        return true;
    }

    /** Waits while a member is missing; returns false once the group broke or closed. */
    boolean awaitProgress() {
        while (mayServe()) {
            if (fleet.isWhole(group())) {
                synchronized (this) {
                    standsStillSinceNanos = 0;
                }
                return true;
            }
            noteStandstill();
            Await.sleepMs(10);
        }
        return false;
    }

    private synchronized void noteStandstill() {
        final long nowNanos = System.nanoTime();
        standsStillSinceNanos = standsStillSinceNanos == 0 ? nowNanos : standsStillSinceNanos;
        if (nowNanos - standsStillSinceNanos > STALL_MS * 1_000_000) {
            become("broken");
        }
    }

    /** Carries out an order and returns the status of the answer. */
    int take(byte[] bytes) throws IOException {
        final JsonNode order = JSON.readTree(bytes);
        settle();
        if (order.path("operation").asText().equals("join")) {
            fleet.checkJoin(vm, group(), order.path("group").asText());
        }
        synchronized (this) {
            if (order.path("fencingToken").asLong() < fence) {
                return FENCED;
            }
            fence = order.path("fencingToken").asLong();
            return switch (order.path("operation").asText()) {
                case "join" -> join(order);
                case "phase" -> DONE;
                default -> isHere(order) ? change(order.path("operation").asText()) : DOES_NOT_FIT;
            };
        }
    }

    private synchronized boolean isHere(JsonNode order) {
        return group != null
                && group.name().equals(order.path("group").asText())
                && group.epoch() == order.path("epoch").asLong();
    }

    private synchronized int join(JsonNode order) {
        if (isHere(order)) {
            return DONE;
        }
        if (order.path("epoch").asLong() < highestEpoch) {
            return FENCED;
        }
        highestEpoch = order.path("epoch").asLong();
        final List<String> members = new ArrayList<>();
        order.path("members").forEach(member -> members.add(member.asText()));
        group = new Group(order.path("group").asText(), highestEpoch, List.copyOf(members));
        loaded = true;
        standsStillSinceNanos = 0;
        become("joining");
        later("ready", JOIN_MS + ThreadLocalRandom.current().nextLong(JOIN_SPREAD_MS));
        return BEGUN;
    }

    private synchronized int change(String operation) {
        return switch (operation) {
            case "open" -> open();
            case "close" -> close();
            default -> {
                group = null;
                become("");
                yield DONE;
            }
        };
    }

    private synchronized int open() {
        if (!state.equals("ready")) {
            return state.equals("open") ? DONE : DOES_NOT_FIT;
        }
        later("open", FORMATION_MS);
        return BEGUN;
    }

    private synchronized int close() {
        if (state.equals("open")) {
            become("closing");
            later("ready", CLOSE_MS);
            return BEGUN;
        }
        return state.equals("ready") && nextState.isEmpty() ? DONE : DOES_NOT_FIT;
    }

    private synchronized void later(String next, long afterMs) {
        nextState = next;
        nextStateNanos = System.nanoTime() + afterMs * 1_000_000;
    }

    private synchronized void settle() {
        if (!nextState.isEmpty() && System.nanoTime() - nextStateNanos >= 0) {
            become(nextState);
            if (state.equals("ready")) {
                fleet.readyOnce(group, vm);
            }
        }
    }

    private synchronized void become(String next) {
        state = next;
        nextState = "";
        changes++;
    }

    /** Returns the fields that a heartbeat of an engine adds. */
    synchronized String report() {
        final String models = loaded ? "[{\"name\":\"large\",\"version\":1,\"adapters\":[]}]" : "[]";
        final String staged = loaded ? "[\"large\"]" : "[]";
        final String place = group == null
                ? ""
                : ",\"group\":{\"name\":\"%s\",\"epoch\":%d,\"rank\":%d,\"state\":\"%s\"}"
                        .formatted(group.name(), group.epoch(), group.members().indexOf(vm), state);
        return ",\"phase\":\"both\",\"models\":%s,\"staged\":%s,\"domain\":\"%s\"%s"
                .formatted(models, staged, domain, place);
    }
}
