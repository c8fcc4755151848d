package org.wigeongrade.platform.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.wigeongrade.proof.Await;

/**
 * The link on which an endpoint VM sends heartbeats, which a fault can cut or hold up.
 *
 * <p>Invariant: a heartbeat that was held up is delivered after newer ones. Thread safe.
 */
final class ControlLink {
    /** What happens to heartbeats. */
    enum Mode {
        DELIVER,
        LOSE,
        HOLD_UP
    }

    private record Heartbeat(String path, String body) {}

    /** Several heartbeat intervals, so that a newer heartbeat arrives first. */
    private static final long RELEASE_DELAY_MS = 2 * FakeEndpointVm.HEARTBEAT_MS;

    private final ControlClient control;
    private final List<Heartbeat> heldUp = new ArrayList<>();
    private Mode mode = Mode.DELIVER;

    ControlLink(ControlClient control) {
        this.control = control;
    }

    void send(String path, String body) {
        synchronized (this) {
            if (mode == Mode.HOLD_UP) {
                heldUp.add(new Heartbeat(path, body));
            }
            if (mode != Mode.DELIVER) {
                return;
            }
        }
        control.sendHeartbeat(path, body);
    }

    /** Applies a mode for {@code forMs}, and then delivers what was held up, the newest first. */
    void disturb(Mode disturbance, long forMs) {
        setMode(disturbance);
        Await.sleepMs(forMs);
        setMode(Mode.DELIVER);
        if (disturbance == Mode.HOLD_UP) {
            Await.sleepMs(RELEASE_DELAY_MS);
            release().forEach(heartbeat -> control.sendHeartbeat(heartbeat.path(), heartbeat.body()));
        }
    }

    private synchronized void setMode(Mode next) {
        mode = next;
    }

    private synchronized List<Heartbeat> release() {
        final List<Heartbeat> released = new ArrayList<>(heldUp);
        heldUp.clear();
        Collections.reverse(released);
        return released;
    }
}
