package org.wigeongrade.proof;

import java.util.HashMap;
import java.util.Map;
import org.wigeongrade.standin.StandinJson;

/** Announcements of a test's single endpoint VM. Stateless; safe for use from any thread. */
final class Announcements {
    private Announcements() {}

    /** Returns the fields that all announcements have; the caller adds those of its kind. */
    static Map<String, Object> fields(int port, String kind, String state) {
        final Map<String, Object> fields = new HashMap<>();
        fields.put("vm", "vm-1");
        fields.put("incarnation", 1);
        fields.put("address", "127.0.0.1:" + port);
        fields.put("availability_zone", "zone-a");
        fields.put("fabric_domain", "fabric-1");
        fields.put("accelerators", 8);
        fields.put("kind", kind);
        fields.put("state", state);
        fields.put("running", 0);
        fields.put("waiting", 0);
        fields.put("sequence", System.nanoTime());
        return fields;
    }

    /** Sends an announcement to an entry VM; one that gets no response is followed by the next. */
    static void send(String entry, Map<String, Object> fields) {
        final var unused = Http.trySend("POST", entry, "/v1/announcements", StandinJson.write(fields));
    }
}
