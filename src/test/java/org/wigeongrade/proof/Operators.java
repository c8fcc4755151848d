package org.wigeongrade.proof;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.wigeongrade.standin.StandinJson;

/** What operators declare and read in the process tests. Stateless; safe for use from any thread. */
final class Operators {
    /** Bearer key of the organisation that the tests declare. */
    static final String KEY = "key-carrick";

    private Operators() {}

    /** Returns three zones, one organisation with wide limits and a model version. */
    static String basics() {
        return """
                [[availability_zone]]
                name = "zone-a"
                [[availability_zone]]
                name = "zone-b"
                [[availability_zone]]
                name = "zone-c"
                [[model_version]]
                name = "guide-1"
                model = "guide"
                weights = "guide-1"
                [[organisation]]
                name = "carrick"
                key_sha256 = ["%s"]
                requests_per_second = 10000
                requests_in_flight = 1000
                tokens_per_minute = 100000000
                """.formatted(sha256(KEY));
    }

    /** Returns a service that every zone may hold. */
    static String service(String name) {
        return """
                [[service]]
                name = "%s"
                capacity = 16
                cold_capacity = 2
                longest_run_ms = 5000
                availability_zones = ["zone-a", "zone-b", "zone-c"]
                """.formatted(name);
    }

    /** Returns a pool of the model {@code guide}. */
    static String pool(int replicas, int vmsPerReplica, int capacity, int coldCapacity, String... zones) {
        return """
                [[pool]]
                name = "guide"
                model_version = "guide-1"
                replicas = %d
                vms_per_replica = %d
                capacity = %d
                cold_capacity = %d
                weighs = "group_downtime"
                fencing_checked = true
                longest_run_ms = 20000
                max_loads = 4
                availability_zones = ["%s"]
                """.formatted(replicas, vmsPerReplica, capacity, coldCapacity, String.join("\", \"", zones));
    }

    /** Returns the revision in an answer to {@code apply}. */
    static long revision(String answer) {
        try {
            return StandinJson.MAPPER.readTree(answer).path("revision").asLong();
        } catch (IOException e) {
            throw new UncheckedIOException("answer '" + answer + "' holds no revision", e);
        }
    }

    static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
