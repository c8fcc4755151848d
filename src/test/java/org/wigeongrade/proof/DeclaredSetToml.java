package org.wigeongrade.proof;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.wigeongrade.standin.StandinJson;

/** TOML texts of the declared sets that process tests apply. Stateless; safe for use from any thread. */
final class DeclaredSetToml {
    /** API key of the organisation that {@link #base} declares. */
    static final String API_KEY = "key-carrick";

    private DeclaredSetToml() {}

    /** Returns three zones, one organisation with high limits and a model version. */
    static String base() {
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
                """.formatted(sha256(API_KEY));
    }

    /** Returns a service that may run in all three zones. */
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

    /** Returns the revision in the response to {@code apply}. */
    static long parseRevision(String response) {
        try {
            return StandinJson.MAPPER.readTree(response).path("revision").asLong();
        } catch (IOException e) {
            throw new UncheckedIOException("response '" + response + "' is not valid JSON, so it has no revision", e);
        }
    }

    static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
